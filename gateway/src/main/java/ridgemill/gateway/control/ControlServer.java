package ridgemill.gateway.control;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.SocketKind;

/**
 * Accepts commands on a Unix domain socket. A client sends one line and reads the response until the connection closes.
 * Only the user that runs the proxy may connect. Runs on the proxy's event loop; long-running commands are executed
 * elsewhere.
 */
public final class ControlServer {

    private static final int MAX_LINE_BYTES = 256;
    private static final int MAX_CLIENTS = 8;
    private static final long TIMEOUT_SECONDS = 5;

    private final Path path;
    private final Channel listener;
    private int clients;

    private ControlServer(Path path, EventLoop loop, Function<String, CompletionStage<String>> commands)
            throws IOException, InterruptedException {
        this.path = path;
        var bound = new ServerBootstrap().group(loop).channel(SocketKind.of(loop).localServer())
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (clients >= MAX_CLIENTS) {
                            channel.close();
                            return;
                        }
                        clients++;
                        channel.closeFuture().addListener(f -> clients--);
                        channel.pipeline().addLast(new ReadTimeoutHandler(TIMEOUT_SECONDS, TimeUnit.SECONDS),
                                new LineBasedFrameDecoder(MAX_LINE_BYTES), new StringDecoder(StandardCharsets.UTF_8),
                                new CommandHandler(commands));
                    }
                }).bind(SocketKind.of(loop).localAddress(path)).await();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + path + ": " + bound.cause().getMessage());
        }
        listener = bound.channel();
        Files.setPosixFilePermissions(path, PosixFilePermissions.fromString("rw-------"));
    }

    /**
     * Starts listening. A socket file that a terminated proxy left behind is replaced.
     *
     * @param commands executes a command line and returns its response; if the stage fails, an error response is sent
     * @throws IOException if another process accepts connections on the socket, if the file is not a socket, or if the
     *     socket cannot be bound
     */
    public static ControlServer listen(Path path, EventLoop loop, Function<String, CompletionStage<String>> commands)
            throws IOException, InterruptedException {
        if (Files.exists(path, LinkOption.NOFOLLOW_LINKS)) {
            if (!Files.readAttributes(path, BasicFileAttributes.class, LinkOption.NOFOLLOW_LINKS).isOther()) {
                throw new IOException("cannot listen on " + path + ": it is there and is no socket");
            }
            if (acceptsConnections(path)) {
                throw new IOException("cannot listen on " + path + ": another proxy does");
            }
            Files.delete(path);
        }
        return new ControlServer(path, loop, commands);
    }

    private static boolean acceptsConnections(Path path) {
        try (SocketChannel channel = SocketChannel.open(UnixDomainSocketAddress.of(path))) {
            return channel.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** Stops listening and deletes the socket file. */
    public void close() {
        listener.close().awaitUninterruptibly(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        try {
            Files.deleteIfExists(path);
        } catch (IOException e) {
            Log.info("the control socket stays: " + e.getMessage());
        }
    }

    /** Handles the single command of a connection. */
    private static final class CommandHandler extends SimpleChannelInboundHandler<String> {
        private final Function<String, CompletionStage<String>> commands;
        private boolean received;

        CommandHandler(Function<String, CompletionStage<String>> commands) {
            this.commands = commands;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String line) {
            if (received) {
                return;
            }
            received = true;
            ctx.pipeline().remove(ReadTimeoutHandler.class);
            commands.apply(line.trim()).exceptionally(e -> {
                Log.error("a control command failed", e);
                return "{\"done\":false,\"reason\":\"the proxy failed over it; its log says why\"}";
            }).thenAccept(response -> ctx.writeAndFlush(Unpooled.copiedBuffer(response + "\n", StandardCharsets.UTF_8))
                    .addListener(ChannelFutureListener.CLOSE));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof ReadTimeoutException) && !(cause instanceof IOException)) {
                Log.info("a control connection was closed: " + cause.getMessage());
            }
            ctx.close();
        }
    }
}

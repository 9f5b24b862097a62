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
 * Answers commands at a Unix socket. A client sends one line and reads until the end; only the proxy's own user may
 * connect. It runs on the proxy's loop, and a command that takes time is carried out elsewhere.
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
     * Starts to listen. A socket that a proxy left behind which is gone is taken over; one that is answered, and a file
     * that is no socket, is left alone.
     *
     * @param commands says what a command's answer is; a stage that fails is told as a fault
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
        try (SocketChannel there = SocketChannel.open(UnixDomainSocketAddress.of(path))) {
            return there.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** Listens no more, and takes the socket away. */
    public void close() {
        listener.close().awaitUninterruptibly(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        try {
            Files.deleteIfExists(path);
        } catch (IOException e) {
            Log.info("the control socket stays: " + e.getMessage());
        }
    }

    /** One connection's one command. */
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
            }).thenAccept(answer -> ctx.writeAndFlush(Unpooled.copiedBuffer(answer + "\n", StandardCharsets.UTF_8))
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

package rig2;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.unix.IntegerUnixChannelOption;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A server of a service as a process: {@code UploadServer ID SERVICE ADDRESS ZONE LEDGER CORE...}. It begins to work on
 * a request when it has the head, writes that to its ledger, and reads the rest of the body later and in small parts, on
 * a connection with small windows. It answers once it has read the whole body.
 */
public final class UploadServer {

    private static final int SLOTS = 8;
    private static final int RECEIVE_BUFFER_BYTES = 2_048;
    /** The options of TCP on Linux: IPPROTO_TCP and TCP_MAXSEG. */
    private static final IntegerUnixChannelOption MAX_SEGMENT_BYTES = new IntegerUnixChannelOption("TCP_MAXSEG", 6, 2);

    private static final int SEGMENT_BYTES = 536;
    /** How long it works on the head of a request before it reads the rest of the body, in milliseconds. */
    private static final long HEAD_WORK_MS = 800;

    private static final long READ_INTERVAL_MS = 20;

    private final String id;
    private final Path ledger;
    private int runs;

    private UploadServer(String id, Path ledger) {
        this.id = id;
        this.ledger = ledger;
    }

    public static void main(String[] arguments) throws Exception {
        String[] address = arguments[2].split(":");
        UploadServer server = new UploadServer(arguments[0], Path.of(arguments[4]));
        int port = server.listen(new InetSocketAddress(address[0], Integer.parseInt(address[1])));
        List<InetSocketAddress> core = new ArrayList<>();
        for (int i = 5; i < arguments.length; i++) {
            String[] parts = arguments[i].split(":");
            core.add(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])));
        }
        new Heartbeats(arguments[0], arguments[1], address[0] + ":" + port, arguments[3], SLOTS, core).start();
        Thread.sleep(Long.MAX_VALUE);
    }

    private int listen(InetSocketAddress address) {
        return ((InetSocketAddress) new ServerBootstrap()
                        .group(new MultiThreadIoEventLoopGroup(1, EpollIoHandler.newFactory()))
                        .channel(EpollServerSocketChannel.class)
                        .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                        .option(MAX_SEGMENT_BYTES, SEGMENT_BYTES)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline().addLast(new Connection());
                            }
                        })
                        .bind(address)
                        .syncUninterruptibly()
                        .channel()
                        .localAddress())
                .getPort();
    }

    private void write(String line) {
        try {
            Files.writeString(ledger, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException failed) {
            throw new IllegalStateException(failed);
        }
    }

    private final class Connection extends ChannelInboundHandlerAdapter {

        private ByteBuf head = Unpooled.buffer();
        private String attemptId;
        private int remaining = -1;
        private int run;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.read();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            boolean begins = remaining < 0;
            if (begins) {
                head.writeBytes(bytes);
                readHead(context);
            } else {
                remaining -= bytes.readableBytes();
            }
            bytes.release();
            if (remaining == 0) {
                answer(context);
            }
            long pauseMs = remaining <= 0 ? 0 : begins ? HEAD_WORK_MS : READ_INTERVAL_MS;
            context.executor().schedule(() -> context.read(), pauseMs, TimeUnit.MILLISECONDS);
        }

        private void readHead(ChannelHandlerContext context) {
            String text = head.toString(StandardCharsets.ISO_8859_1);
            int end = text.indexOf("\r\n\r\n");
            if (end < 0) {
                return;
            }
            String lines = text.substring(0, end + 2);
            attemptId = header(lines, "X-Attempt-Id");
            String expected = header(lines, "X-Expected-Instance");
            String length = header(lines, "Content-Length");
            remaining = (length == null ? 0 : Integer.parseInt(length)) - (text.length() - end - 4);
            head = Unpooled.buffer();
            if (expected != null && !expected.equals(id)) {
                context.writeAndFlush(ascii("HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: " + attemptId
                        + "\r\nX-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"));
                return;
            }
            run = ++runs;
            write("begun " + attemptId + " at " + id);
        }

        private void answer(ChannelHandlerContext context) {
            String body = "run " + run + " at " + id;
            write("answered " + attemptId + " at " + id);
            context.writeAndFlush(ascii("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attemptId + "\r\nX-Response-Seal: " + id + "."
                    + run + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
            remaining = -1;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private static ByteBuf ascii(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private static String header(String lines, String name) {
        for (String line : lines.split("\r\n")) {
            int colon = line.indexOf(':');
            if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
                return line.substring(colon + 1).trim();
            }
        }
        return null;
    }
}

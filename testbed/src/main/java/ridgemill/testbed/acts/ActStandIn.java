package ridgemill.testbed.acts;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import ridgemill.testbed.Reservation;
import ridgemill.testbed.ledger.Ledger;

/**
 * Receives the acts of a fleet's tasks over HTTP and notes each one's first and last byte, holder and term. It does what a
 * receiver should: an act under a term lower than one it has seen of that task is refused (409), whoever sends it, and a term
 * counts as seen from its act's first reading on. Everything runs on one loop.
 */
public final class ActStandIn implements AutoCloseable {

    private static final int MOST_BODY = 1 << 16;

    private final EventLoop loop;
    private final Ledger ledger;
    private final Reservation port = new Reservation();
    private final Channel listener;
    private final Map<String, Long> highest = new HashMap<>();
    private final ConcurrentLinkedQueue<Act> acts = new ConcurrentLinkedQueue<>();
    private volatile double answerMs;
    private volatile int status = 200;

    public ActStandIn(EventLoop loop, Ledger ledger) {
        this.loop = loop;
        this.ledger = ledger;
        this.listener = port.listen(new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        FirstByte first = new FirstByte();
                        channel.pipeline()
                                .addLast(
                                        first,
                                        new HttpRequestDecoder(),
                                        new HttpObjectAggregator(MOST_BODY),
                                        new Receive(first));
                    }
                }));
    }

    /** Where acts are sent. */
    public InetSocketAddress address() {
        return port.address();
    }

    /** All acts so far, in the order in which they took effect or were refused. */
    public List<Act> acts() {
        return List.copyOf(acts);
    }

    /** Answers so long after an act has come. */
    public void answersAfter(double ms) {
        answerMs = ms;
    }

    /** Answers acts that take effect with this status. */
    public void answers(int with) {
        status = with;
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        port.close();
    }

    private final class FirstByte extends ChannelDuplexHandler {
        private double at;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (at == 0) {
                at = ledger.now();
            }
            ctx.fireChannelRead(message);
        }
    }

    private final class Receive extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final FirstByte first;

        Receive(FirstByte first) {
            this.first = first;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String task = request.headers().get("Lease-Task", "");
            String holder = request.headers().get("Lease-Holder", "");
            long term = Long.parseLong(request.headers().get("Lease-Term", "0"));
            boolean accepted = term >= highest.getOrDefault(task, 0L);
            highest.merge(task, term, Math::max);
            acts.add(new Act(task, holder, term, first.at, ledger.now(), accepted));
            first.at = 0;
            String highestSeen = "Lease-Term: " + highest.get(task) + "\r\n";
            String answer =
                    "HTTP/1.1 " + (accepted ? status : 409) + " x\r\nContent-Length: 0\r\n" + highestSeen + "\r\n";
            loop.schedule(
                    () -> ctx.writeAndFlush(Unpooled.copiedBuffer(answer, StandardCharsets.US_ASCII)),
                    (long) (answerMs * 1e3),
                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

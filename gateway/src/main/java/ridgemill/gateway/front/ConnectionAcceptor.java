package ridgemill.gateway.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.Transport;
import ridgemill.loops.ConnectionDistributor;

/**
 * Accepts connections on a loop of its own, the acceptor loop, and distributes them to frontends on other loops. With
 * one listener, a connection that is not accepted yet belongs to no loop, so a stalled loop loses none. If each loop
 * listened itself (SO_REUSEPORT), the connections in a stalled loop's backlog would be lost. Used on the acceptor loop
 * only, except for {@link #listen}.
 */
public final class ConnectionAcceptor {

    /** A loop that sends no report for this time is logged as stalled. */
    private static final double STALL_THRESHOLD_MS = 2000;

    private final EventLoop acceptorLoop;
    private final Clock clock;
    private final ConnectionDistributor distributor;
    private final OpenListeners openListeners;
    private final boolean[] stalled;

    /** Distributes connections to the loops of {@code distributor}. */
    public ConnectionAcceptor(EventLoop acceptorLoop, Clock clock, ConnectionDistributor distributor) {
        this.acceptorLoop = acceptorLoop;
        this.clock = clock;
        this.distributor = distributor;
        this.openListeners = new OpenListeners(acceptorLoop);
        this.stalled = new boolean[distributor.loopCount()];
    }

    /**
     * Starts listening on an additional address. The future fails if the address cannot be bound. May be called from
     * any thread.
     *
     * @param listenersByLoop the frontend's listeners on each loop, in the order of the loops
     */
    public ChannelFuture listen(Transport transport, SocketAddress address, List<Listeners> listenersByLoop) {
        return openListeners.add(address, transport.server(acceptorLoop)
                .handler(new DistributionHandler(List.copyOf(listenersByLoop)))
                .childHandler(new ChannelInboundHandlerAdapter()).bind(address));
    }

    /** Stops accepting connections on an address. Connections accepted there stay open. */
    public void stopListening(SocketAddress address) {
        openListeners.close(address);
    }

    /** Stops accepting connections on all addresses. */
    public void close() {
        openListeners.closeAll();
    }

    /** Records a loop's report of how late its periodic task ran, in milliseconds. */
    public void reportDelay(int loop, double lateMs) {
        distributor.reportDelay(loop, clock.now(), lateMs);
        if (stalled[loop]) {
            stalled[loop] = false;
            Log.info("loop " + loop + " answers again");
        }
    }

    /** Logs loops that have stopped reporting. Called periodically. */
    public void checkLoops() {
        for (int i = 0; i < stalled.length; i++) {
            double silentMs = distributor.sinceLastReportMs(i, clock.now());
            if (!stalled[i] && silentMs > STALL_THRESHOLD_MS) {
                stalled[i] = true;
                Log.info("loop " + i + " has not answered for " + Math.round(silentMs)
                        + " ms; new connections go to others");
            }
        }
    }

    /** Excludes a loop from further connections. */
    public void retire(int loop) {
        distributor.retire(loop);
    }

    /** Describes each loop's state in one line, for operators. */
    public List<String> describeLoops() {
        List<String> lines = new ArrayList<>();
        double now = clock.now();
        for (int i = 0; i < distributor.loopCount(); i++) {
            lines.add("loop " + i + ": " + distributor.openConnections(i) + " connections, "
                    + (distributor.isRetired(i) ? "retired after an error"
                    : distributor.isKeepingUp(i, now) ? "keeps up"
                    : "late, last heard of " + Math.round(distributor.sinceLastReportMs(i, now)) + " ms ago"));
        }
        return lines;
    }

    /** Runs before Netty's own acceptor handler and consumes every accepted channel, so that handler gets none. */
    private final class DistributionHandler extends ChannelInboundHandlerAdapter {
        private final List<Listeners> listenersByLoop;

        DistributionHandler(List<Listeners> listenersByLoop) {
            this.listenersByLoop = listenersByLoop;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            Channel client = (Channel) message;
            int loop = distributor.nextLoop(clock.now());
            if (loop == ConnectionDistributor.NONE || openListeners.isClosed()) {
                // Accepted in the same read as the connection that took the last free capacity.
                client.unsafe().closeForcibly();
                return;
            }
            distributor.connectionOpened(loop);
            // At capacity, further connections wait in the system's backlog, as each accepted one must be served.
            openListeners.setAccepting(distributor.nextLoop(clock.now()) != ConnectionDistributor.NONE);
            client.config().setOption(ChannelOption.TCP_NODELAY, true);
            client.pipeline().addLast(listenersByLoop.get(loop).channelInitializer());
            listenersByLoop.get(loop).loop().register(client).addListener(f -> {
                if (!f.isSuccess()) {
                    client.unsafe().closeForcibly();
                }
            });
            client.closeFuture().addListener(f -> acceptorLoop.execute(() -> {
                distributor.connectionClosed(loop);
                openListeners.setAccepting(true);
            }));
        }
    }
}

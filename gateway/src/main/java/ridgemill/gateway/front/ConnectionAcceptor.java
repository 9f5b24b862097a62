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
 * Takes connections in on a loop of its own, the door, and deals them out to fronts on other loops. With one listener a
 * connection that nobody has accepted yet belongs to no loop: none is lost with a loop that is stuck, as those in the
 * backlog of its own listener would be where each loop listens (SO_REUSEPORT). Used on the door's loop alone, but for
 * {@link #listen}.
 */
public final class ConnectionAcceptor {

    /** How long a loop may be silent before it is told of in the log. */
    private static final double STALL_THRESHOLD_MS = 2000;

    private final EventLoop acceptorLoop;
    private final Clock clock;
    private final ConnectionDistributor distributor;
    private final OpenListeners openListeners;
    private final boolean[] stalled;

    /** Deals to as many loops as {@code dealing} knows. */
    public ConnectionAcceptor(EventLoop door, Clock clock, ConnectionDistributor dealing) {
        this.acceptorLoop = door;
        this.clock = clock;
        this.distributor = dealing;
        this.openListeners = new OpenListeners(door);
        this.stalled = new boolean[dealing.loopCount()];
    }

    /**
     * Starts to listen at one more address; the future fails where it can't be had. May be called from any thread.
     *
     * @param fronts what takes connections on each loop, in the loops' order
     */
    public ChannelFuture listen(Transport transport, SocketAddress address, List<Listeners> fronts) {
        return openListeners.add(address, transport.server(acceptorLoop).handler(new DistributionHandler(List.copyOf(fronts)))
                .childHandler(new ChannelInboundHandlerAdapter()).bind(address));
    }

    /** No new connections at an address; those that it has stay. */
    public void stopListening(SocketAddress address) {
        openListeners.close(address);
    }

    /** No new connections. */
    public void close() {
        openListeners.closeAll();
    }

    /** A loop tells how late it ran. */
    public void reportDelay(int loop, double lateMs) {
        distributor.reportDelay(loop, clock.now(), lateMs);
        if (stalled[loop]) {
            stalled[loop] = false;
            Log.info("loop " + loop + " answers again");
        }
    }

    /** Looks for loops that have not told anything; to be called at intervals. */
    public void checkLoops() {
        for (int i = 0; i < stalled.length; i++) {
            double silent = distributor.sinceLastReportMs(i, clock.now());
            if (!stalled[i] && silent > STALL_THRESHOLD_MS) {
                stalled[i] = true;
                Log.info("loop " + i + " has not answered for " + Math.round(silent) + " ms; new connections go to others");
            }
        }
    }

    /** A loop gets no more connections. */
    public void retire(int loop) {
        distributor.retire(loop);
    }

    /** What is known of each loop, a line each. */
    public List<String> describeLoops() {
        List<String> lines = new ArrayList<>();
        double now = clock.now();
        for (int i = 0; i < distributor.loopCount(); i++) {
            lines.add("loop " + i + ": " + distributor.openConnections(i) + " connections, " + (distributor.isRetired(i) ? "retired after an error"
                    : distributor.isKeepingUp(i, now) ? "keeps up" : "late, last heard of " + Math.round(distributor.sinceLastReportMs(i, now))
                    + " ms ago"));
        }
        return lines;
    }

    /** Stands before the acceptor of a listener's own loop, and leaves nothing to it. */
    private final class DistributionHandler extends ChannelInboundHandlerAdapter {
        private final List<Listeners> listenersByLoop;

        DistributionHandler(List<Listeners> fronts) {
            this.listenersByLoop = fronts;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            Channel client = (Channel) message;
            int loop = distributor.nextLoop(clock.now());
            if (loop == ConnectionDistributor.NONE || openListeners.isClosed()) {
                // Accepted in the same go as the last one that had a place.
                client.unsafe().closeForcibly();
                return;
            }
            distributor.connectionOpened(loop);
            // Past this the system's backlog keeps them, as any that is accepted must be served.
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

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
public final class Dealer {

    /** How long a loop may be silent before it is told of in the log. */
    private static final double STUCK_MS = 2000;

    private final EventLoop door;
    private final Clock clock;
    private final ConnectionDistributor dealing;
    private final OpenAddresses open;
    private final boolean[] stuck;

    /** Deals to as many loops as {@code dealing} knows. */
    public Dealer(EventLoop door, Clock clock, ConnectionDistributor dealing) {
        this.door = door;
        this.clock = clock;
        this.dealing = dealing;
        this.open = new OpenAddresses(door);
        this.stuck = new boolean[dealing.loopCount()];
    }

    /**
     * Starts to listen at one more address; the future fails where it can't be had. May be called from any thread.
     *
     * @param fronts what takes connections on each loop, in the loops' order
     */
    public ChannelFuture listen(Transport transport, SocketAddress address, List<Listeners> fronts) {
        return open.add(address, transport.server(door).handler(new Deals(List.copyOf(fronts)))
                .childHandler(new ChannelInboundHandlerAdapter()).bind(address));
    }

    /** No new connections at an address; those that it has stay. */
    public void unlisten(SocketAddress address) {
        open.unlisten(address);
    }

    /** No new connections. */
    public void close() {
        open.close();
    }

    /** A loop tells how late it ran. */
    public void beat(int loop, double lateMs) {
        dealing.reportDelay(loop, clock.now(), lateMs);
        if (stuck[loop]) {
            stuck[loop] = false;
            Log.info("loop " + loop + " answers again");
        }
    }

    /** Looks for loops that have not told anything; to be called at intervals. */
    public void look() {
        for (int i = 0; i < stuck.length; i++) {
            double silent = dealing.sinceLastReportMs(i, clock.now());
            if (!stuck[i] && silent > STUCK_MS) {
                stuck[i] = true;
                Log.info("loop " + i + " has not answered for " + Math.round(silent) + " ms; new connections go to others");
            }
        }
    }

    /** A loop gets no more connections. */
    public void retire(int loop) {
        dealing.retire(loop);
    }

    /** What is known of each loop, a line each. */
    public List<String> explain() {
        List<String> lines = new ArrayList<>();
        double now = clock.now();
        for (int i = 0; i < dealing.loopCount(); i++) {
            lines.add("loop " + i + ": " + dealing.openConnections(i) + " connections, " + (dealing.isRetired(i) ? "retired after an error"
                    : dealing.isKeepingUp(i, now) ? "keeps up" : "late, last heard of " + Math.round(dealing.sinceLastReportMs(i, now))
                    + " ms ago"));
        }
        return lines;
    }

    /** Stands before the acceptor of a listener's own loop, and leaves nothing to it. */
    private final class Deals extends ChannelInboundHandlerAdapter {
        private final List<Listeners> fronts;

        Deals(List<Listeners> fronts) {
            this.fronts = fronts;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            Channel client = (Channel) message;
            int loop = dealing.nextLoop(clock.now());
            if (loop == ConnectionDistributor.NONE || open.isOver()) {
                // Accepted in the same go as the last one that had a place.
                client.unsafe().closeForcibly();
                return;
            }
            dealing.connectionOpened(loop);
            // Past this the system's backlog keeps them, as any that is accepted must be served.
            open.accept(dealing.nextLoop(clock.now()) != ConnectionDistributor.NONE);
            client.config().setOption(ChannelOption.TCP_NODELAY, true);
            client.pipeline().addLast(fronts.get(loop).accepted());
            fronts.get(loop).loop().register(client).addListener(f -> {
                if (!f.isSuccess()) {
                    client.unsafe().closeForcibly();
                }
            });
            client.closeFuture().addListener(f -> door.execute(() -> {
                dealing.connectionClosed(loop);
                open.accept(true);
            }));
        }
    }
}

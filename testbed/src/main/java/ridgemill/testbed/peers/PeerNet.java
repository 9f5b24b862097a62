package ridgemill.testbed.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * The network between proxies, which carries datagrams late, twice, spoilt, out of order or not at all. Each proxy is seen by
 * the others under an address of this network, and its own socket is seen by nobody. Each directed pair has conditions of
 * its own, which may be set from any thread.
 */
public final class PeerNet implements AutoCloseable {

    /** What was carried lately on each way, and may come once more. */
    private static final int REMEMBERED = 64;

    /**
     * What became of all datagrams so far.
     *
     * @param sent that proxies sent
     * @param bytes in them
     * @param lost of them, by chance or by a cut
     * @param doubled that came twice
     * @param replayed old ones that came once more
     * @param flipped that came with a bit changed
     */
    public record Counts(long sent, long bytes, long lost, long doubled, long replayed, long flipped) {}

    private final EventLoop loop;
    private final SplittableRandom random;
    private final List<Channel> seen = new ArrayList<>();
    private final List<InetSocketAddress> sockets;
    private final Lane[][] lanes;
    private long sent;
    private long bytes;
    private long lost;
    private long doubled;
    private long replayed;
    private long flipped;

    /** One directed pair. */
    private static final class Lane {
        private volatile Way way = Way.CLEAR;
        private final List<byte[]> old = new ArrayList<>();
        private int longest;
    }

    /** {@code sockets} is where each proxy listens, by its number. */
    public PeerNet(EventLoop loop, List<InetSocketAddress> sockets, long seed) {
        this.loop = loop;
        this.sockets = List.copyOf(sockets);
        this.random = new SplittableRandom(seed);
        this.lanes = new Lane[sockets.size()][sockets.size()];
        for (int i = 0; i < sockets.size(); i++) {
            for (int j = 0; j < sockets.size(); j++) {
                lanes[i][j] = new Lane();
            }
        }
        for (int i = 0; i < sockets.size(); i++) {
            int number = i;
            seen.add(new Bootstrap()
                    .group(loop)
                    .channel(NioDatagramChannel.class)
                    .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                        @Override
                        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                            carry(number, packet);
                        }
                    })
                    .bind(new InetSocketAddress("127.0.0.1", 0))
                    .syncUninterruptibly()
                    .channel());
        }
    }

    /** The addresses under which proxies see one another, by number. */
    public List<InetSocketAddress> addresses() {
        return seen.stream().map(c -> (InetSocketAddress) c.localAddress()).toList();
    }

    /** Loses this part of all datagrams and delays the rest; what else was set of any way is forgotten. */
    public void set(double loss, double delay) {
        change(w -> Way.CLEAR.loss(loss).delay(delay, 0));
    }

    /** Changes the conditions of every way. */
    public void change(UnaryOperator<Way> how) {
        for (int i = 0; i < lanes.length; i++) {
            for (int j = 0; j < lanes.length; j++) {
                change(i, j, how);
            }
        }
    }

    /** Changes the conditions from one proxy to another, which are not those of the way back. */
    public void change(int from, int to, UnaryOperator<Way> how) {
        Lane lane = lanes[from][to];
        lane.way = how.apply(lane.way);
    }

    /** Cuts all ways between this group and all others, both ways; ways within each of the two are as they were. */
    public void split(List<Integer> group) {
        for (int i = 0; i < lanes.length; i++) {
            for (int j = 0; j < lanes.length; j++) {
                if (group.contains(i) != group.contains(j)) {
                    change(i, j, w -> w.cut(true));
                }
            }
        }
    }

    /** What became of all datagrams so far; not to be called on the loop. */
    public Counts counts() {
        return loop.submit(() -> new Counts(sent, bytes, lost, doubled, replayed, flipped))
                .syncUninterruptibly()
                .getNow();
    }

    /** The longest datagram that was sent to a proxy so far, in bytes; not to be called on the loop. */
    public int longestTo(int to) {
        return loop.submit(() -> {
                    int longest = 0;
                    for (Lane[] from : lanes) {
                        longest = Math.max(longest, from[to].longest);
                    }
                    return longest;
                })
                .syncUninterruptibly()
                .getNow();
    }

    private void carry(int to, DatagramPacket packet) {
        int from = sockets.indexOf(packet.sender());
        if (from < 0) {
            return;
        }
        Lane lane = lanes[from][to];
        Way way = lane.way;
        byte[] contents = ByteBufUtil.getBytes(packet.content());
        lane.longest = Math.max(lane.longest, contents.length);
        sent++;
        bytes += contents.length;
        // As many draws for each datagram whatever becomes of it, so that one condition's chance does not move
        // another's.
        boolean loses = random.nextDouble() < way.lossShare();
        boolean doubles = random.nextDouble() < way.doubledShare();
        boolean replays = random.nextDouble() < way.replayedShare();
        boolean flips = random.nextDouble() < way.flippedShare();
        double chance = random.nextDouble();
        if (way.cut() || loses) {
            lost++;
            return;
        }
        if (replays && !lane.old.isEmpty()) {
            replayed++;
            pass(from, to, way, lane.old.get((int) (chance * lane.old.size())));
        }
        if (lane.old.size() == REMEMBERED) {
            lane.old.remove(0);
        }
        lane.old.add(contents);
        if (doubles) {
            doubled++;
            pass(from, to, way, contents);
        }
        if (flips && contents.length > 0) {
            flipped++;
            contents = contents.clone();
            int bit = (int) (chance * contents.length * Byte.SIZE);
            contents[bit / Byte.SIZE] ^= (byte) (1 << bit % Byte.SIZE);
        }
        pass(from, to, way, contents);
    }

    private void pass(int from, int to, Way way, byte[] contents) {
        DatagramPacket on = new DatagramPacket(Unpooled.wrappedBuffer(contents), sockets.get(to));
        double ms = way.delayMs() + way.spreadMs() * random.nextDouble();
        loop.schedule(() -> seen.get(from).writeAndFlush(on), (long) (ms * 1e3), TimeUnit.MICROSECONDS);
    }

    @Override
    public void close() {
        for (Channel channel : seen) {
            channel.close().syncUninterruptibly();
        }
    }
}

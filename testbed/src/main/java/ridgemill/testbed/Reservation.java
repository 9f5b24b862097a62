package ridgemill.testbed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A port on loopback that stays ours while nobody listens on it: a server that was killed must find its port again, and
 * any client of any process may be given a port that is free. It is held by a socket that is bound and does not listen,
 * beside which one that listens may be bound as long as both allow the reuse of addresses.
 */
public final class Reservation implements AutoCloseable {

    /** Below the ports that a system hands out by itself; datagram sockets can't be held in the way above. */
    private static final int FIRST_DATAGRAM_PORT = 10_000;

    private static final int DATAGRAM_PORTS = 20_000;
    private static final int TRIES = 100;
    /** More than one round of a loop is never needed; a server that can't listen must not hang a test. */
    private static final int LOOKS = 100;

    private final Socket holder = new Socket();

    /** Holds a free port. */
    public Reservation() {
        try {
            holder.setReuseAddress(true);
            holder.bind(new InetSocketAddress("127.0.0.1", 0));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The address that is held. */
    public InetSocketAddress address() {
        return (InetSocketAddress) holder.getLocalSocketAddress();
    }

    /**
     * Listens here. A listener that was closed a moment ago goes on listening for the system until its loop looks at its
     * sockets next, so a server that is started again at once would find its own address in use; nobody else can have it.
     * Not to be called on the loop.
     */
    public Channel listen(ServerBootstrap server) {
        server.option(ChannelOption.SO_REUSEADDR, true);
        for (int i = 1; ; i++) {
            ChannelFuture bound = server.bind(address()).awaitUninterruptibly();
            if (bound.isSuccess()) {
                return bound.channel();
            }
            if (i == LOOKS || !(bound.cause() instanceof BindException)) {
                throw new IllegalStateException("cannot listen on " + address(), bound.cause());
            }
            // What is scheduled runs in a later round of the loop, and each round begins with a look at the sockets.
            server.config()
                    .group()
                    .next()
                    .schedule(() -> {}, 1, TimeUnit.MILLISECONDS)
                    .awaitUninterruptibly();
        }
    }

    @Override
    public void close() {
        try {
            holder.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** An address for datagrams that is free now and that no system hands out by itself. */
    public static InetSocketAddress datagramAddress() {
        SplittableRandom random = new SplittableRandom(System.nanoTime());
        InetAddress loopback = InetAddress.getLoopbackAddress();
        for (int i = 0; i < TRIES; i++) {
            int port = FIRST_DATAGRAM_PORT + random.nextInt(DATAGRAM_PORTS);
            try (DatagramSocket probe = new DatagramSocket(port, loopback)) {
                return (InetSocketAddress) probe.getLocalSocketAddress();
            } catch (SocketException e) {
                continue;
            }
        }
        throw new IllegalStateException("no datagram port is free");
    }
}

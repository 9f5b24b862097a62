package ridgemill.gateway.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerDomainSocketChannel;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.channel.unix.DomainSocketAddress;
import io.netty.channel.unix.Socket;
import io.netty.channel.unix.UnixChannelOption;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Path;
import java.util.Locale;

/**
 * What a loop waits for its sockets with. All channels of a loop are of its kind. Linux's epoll through Netty's own
 * library costs a request at a low rate less than half of what the JDK's selectors do, see docs/design/scale.md; where that
 * library can't be had the JDK's serve, with the same outcome of every request.
 */
public enum SocketKind {

    /** The JDK's selectors, which every machine has. */
    NIO {
        @Override
        public IoHandlerFactory handlers() {
            return NioIoHandler.newFactory();
        }

        @Override
        public Class<? extends ServerChannel> server() {
            return NioServerSocketChannel.class;
        }

        @Override
        public Class<? extends SocketChannel> client() {
            return NioSocketChannel.class;
        }

        @Override
        public Class<? extends DatagramChannel> datagram() {
            return NioDatagramChannel.class;
        }

        @Override
        public Class<? extends ServerChannel> localServer() {
            return NioServerDomainSocketChannel.class;
        }

        @Override
        public SocketAddress localAddress(Path path) {
            return UnixDomainSocketAddress.of(path);
        }

        @Override
        public ChannelOption<Boolean> sharedPort() {
            return NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);
        }

        @Override
        public void takeWaiting(Channel listener) {
            // The JDK's listeners are read by their selector alone.
        }
    },

    /** Linux's epoll. */
    EPOLL {
        @Override
        public IoHandlerFactory handlers() {
            return EpollIoHandler.newFactory();
        }

        @Override
        public Class<? extends ServerChannel> server() {
            return EpollServerSocketChannel.class;
        }

        @Override
        public Class<? extends SocketChannel> client() {
            return EpollSocketChannel.class;
        }

        @Override
        public Class<? extends DatagramChannel> datagram() {
            return EpollDatagramChannel.class;
        }

        @Override
        public Class<? extends ServerChannel> localServer() {
            return EpollServerDomainSocketChannel.class;
        }

        @Override
        public SocketAddress localAddress(Path path) {
            return new DomainSocketAddress(path.toFile());
        }

        @Override
        public ChannelOption<Boolean> sharedPort() {
            return UnixChannelOption.SO_REUSEPORT;
        }

        @Override
        public void takeWaiting(Channel listener) {
            if (listener instanceof EpollServerSocketChannel epoll && epoll.fd() instanceof Socket socket) {
                byte[] address = new byte[ADDRESS_BYTES];
                try {
                    for (int fd = socket.accept(address); fd >= 0; fd = socket.accept(address)) {
                        listener.pipeline().fireChannelRead(new EpollSocketChannel(fd));
                    }
                } catch (IOException e) {
                    Log.info("what waited at a listener was not taken: " + e.getMessage());
                }
            }
        }
    };

    /**
     * The system property that chooses: {@code epoll} and {@code auto}, which is what holds without it, take epoll where it
     * can be had; {@code nio} does not look for it.
     */
    public static final String PROPERTY = "ridgemill.sockets";

    /** An address with its length, as Netty's library hands one back. */
    private static final int ADDRESS_BYTES = 26;

    /** What makes the part of a loop that waits for sockets. */
    public abstract IoHandlerFactory handlers();

    /** A listener's channel. */
    public abstract Class<? extends ServerChannel> server();

    /** A connection's channel. */
    public abstract Class<? extends SocketChannel> client();

    /** A datagram socket's channel. */
    public abstract Class<? extends DatagramChannel> datagram();

    /** The channel of a listener at a Unix socket. */
    public abstract Class<? extends ServerChannel> localServer();

    /** A Unix socket's address as this kind's channels want it. */
    public abstract SocketAddress localAddress(Path path);

    /** Lets several processes of one user listen at an address. */
    public abstract ChannelOption<Boolean> sharedPort();

    /** Takes in the connections that wait at a listener, as closing it would reset them; on its loop. */
    public abstract void takeWaiting(Channel listener);

    /** The kind of a loop that is there. */
    public static SocketKind of(EventLoop loop) {
        // Asked of the JDK's first: where those serve, no class of the other is loaded.
        return ((IoEventLoop) loop).isIoType(NioIoHandler.class) ? NIO : EPOLL;
    }

    /** The kind for loops of this process; what can't be had is said in the log, and the JDK's serve. */
    public static SocketKind chosen() {
        return chosen(System.getProperty(PROPERTY, "auto"));
    }

    static SocketKind chosen(String wanted) {
        switch (wanted.toLowerCase(Locale.ROOT)) {
            case "nio" -> {
                return NIO;
            }
            case "epoll", "auto" -> {
                if (Epoll.isAvailable()) {
                    return EPOLL;
                }
                Log.info("sockets: the JDK's selectors serve, as epoll can't be had: " + reason(Epoll.unavailabilityCause()));
                return NIO;
            }
            default -> {
                Log.info("sockets: the JDK's selectors serve, as " + PROPERTY + " is none of auto, epoll, nio: " + wanted);
                return NIO;
            }
        }
    }

    private static String reason(Throwable cause) {
        return cause.getCause() == null ? cause.toString() : cause.getCause().toString();
    }
}

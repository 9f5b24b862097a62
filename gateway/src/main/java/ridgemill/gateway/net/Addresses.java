package ridgemill.gateway.net;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Numeric socket addresses. There is no DNS here, and a look-up would block the event loop. */
public final class Addresses {

    private static final int MAX_PORT = 65535;

    private Addresses() { }

    /** As {@link #parse} reads it. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        InetAddress host = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        if (host == null) {
            throw new IllegalArgumentException("not a numeric address and port: " + text);
        }
        int port;
        try {
            port = Integer.parseInt(text.substring(colon + 1));
        } catch (NumberFormatException e) {
            port = -1;
        }
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("no such port: " + text);
        }
        return new InetSocketAddress(host, port);
    }
}

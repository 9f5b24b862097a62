package ridgemill.cdn.settings;

import java.net.InetSocketAddress;

/** Reads addresses as they stand in settings and heartbeats. */
public final class Addresses {

    private Addresses() {}

    /**
     * The socket address of a text such as {@code 10.0.0.1:8080}. The host is an IP address, so nothing is looked up.
     *
     * @throws IllegalArgumentException if the text is no address
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("\"" + text + "\" is no address such as 10.0.0.1:8080");
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}

package ridgemill.gateway;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import ridgemill.gateway.net.Log;

/**
 * Listens where peers' messages arrive before the proxy itself does. Peers speak only while they serve clients, so
 * hearing one during a start tells a restart in a fleet at work from the first start of all. Without peers, or where the
 * address can't be had yet, nothing is heard; the proxy's own attempt to listen reports why.
 */
final class PeerDetector implements Closeable {

    private final Selector selector;
    private final DatagramChannel channel;

    PeerDetector(InetSocketAddress address) throws IOException {
        selector = Selector.open();
        channel = DatagramChannel.open();
        if (address != null) {
            try {
                channel.bind(address).configureBlocking(false).register(selector, SelectionKey.OP_READ);
            } catch (IOException e) {
                Log.info("no peers are heard before the start: " + e.getMessage());
            }
        }
    }

    /** Where it listens; null where it does not. */
    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    /** Whether a message has come, or comes within so long; it is left unread. */
    boolean hasMessage(long waitMs) throws IOException {
        return (waitMs <= 0 ? selector.selectNow() : selector.select(waitMs)) > 0 || !selector.selectedKeys().isEmpty();
    }

    @Override
    public void close() throws IOException {
        channel.close();
        selector.close();
    }
}

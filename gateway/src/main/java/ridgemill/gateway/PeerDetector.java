package ridgemill.gateway;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import ridgemill.gateway.net.Log;

/**
 * Listens for messages from peers during a start, before the proxy itself does. Peers send messages only while they
 * serve clients, so a message tells a restart within a running fleet from the first start of a fleet. Without peers, or
 * if the address cannot be bound yet, no message is detected; the proxy's own attempt to listen reports the reason.
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
                Log.info("cannot detect peers during the start: " + e.getMessage());
            }
        }
    }

    /** The address it listens at; null if it does not listen. */
    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    /** Whether a message has arrived or arrives within {@code waitMs} milliseconds. The message is not read. */
    boolean hasMessage(long waitMs) throws IOException {
        return (waitMs <= 0 ? selector.selectNow() : selector.select(waitMs)) > 0 || !selector.selectedKeys().isEmpty();
    }

    @Override
    public void close() throws IOException {
        channel.close();
        selector.close();
    }
}

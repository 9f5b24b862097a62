package ridgemill.testbed;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;

/** What stand-ins do to sockets. */
public final class Sockets {

    private Sockets() {}

    /** Ends a connection with a reset and not in the usual way; one that has ended already, or is null, stays as it is. */
    public static void reset(Channel channel) {
        if (channel == null || !channel.isOpen()) {
            return;
        }
        try {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            // The system has seen the other side's end before us, and a plain close is all that is left.
        } finally {
            channel.close();
        }
    }
}

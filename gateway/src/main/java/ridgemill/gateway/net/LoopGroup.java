package ridgemill.gateway.net;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import java.util.concurrent.Executor;

/**
 * Loops that leave no socket open when they end. Netty's own close their sockets in the round after an end was asked for; asked for while the
 * loop runs its tasks, and with no quiet period, there is no such round, and listeners go on taking connections that nobody reads.
 */
public final class LoopGroup extends MultiThreadIoEventLoopGroup {

    /**
     * @param loops how many, at least one
     * @param handlers as {@link SocketKind#handlers} tells them
     */
    public LoopGroup(int loops, IoHandlerFactory handlers) {
        super(loops, handlers);
    }

    @Override
    protected IoEventLoop newChild(Executor executor, IoHandlerFactory handlers, Object... args) {
        return new SingleThreadIoEventLoop(this, executor, handlers) {
            @Override
            protected void run() {
                super.run();
                if (isShuttingDown()) {
                    // Tasks are still taken: what the closed channels tell is told.
                    ioHandler().prepareToDestroy();
                }
            }
        };
    }
}

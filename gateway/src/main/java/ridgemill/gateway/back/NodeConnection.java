package ridgemill.gateway.back;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import ridgemill.core.NodeResponse;
import ridgemill.gateway.net.Content;
import ridgemill.policy.Router.Outcome;

/**
 * One connection to a node, which carries one exchange at a time: what all protocols have in common. A protocol's own
 * class reads and writes its messages and tells from here how the exchange ended.
 */
public abstract class NodeConnection extends ChannelInboundHandlerAdapter {

    private NodeConnectionPool pool;
    NodeConnectionPool.Target target;
    private ChannelHandlerContext context;
    private NodeExchange current;
    long idleSinceNanos;
    private boolean used;

    /** Adds the protocol's codec and this handler, the last, to a new connection. */
    protected abstract void install(ChannelPipeline pipeline);

    /** The message to write for an exchange; called when the connection is there to write it to. */
    protected abstract Object buildMessage(NodeExchange exchange);

    /** Writes a message; the future tells when the last byte of it is with the system. */
    protected ChannelFuture send(Object message) {
        return context.writeAndFlush(message);
    }

    /** What was kept of the last exchange is of no use any more. */
    protected void resetExchangeState() { }

    /** The connection has ended; a whole answer that waits may still be given by {@link #finish}. */
    protected abstract void connectionClosed();

    void attach(NodeConnectionPool pool, NodeConnectionPool.Target target) {
        this.pool = pool;
        this.target = target;
    }

    /** The exchange that waits for its answer; null between two. */
    protected final NodeExchange current() {
        return current;
    }

    protected final ChannelHandlerContext context() {
        return context;
    }

    /** Ends the exchange with an answer; the connection is kept if {@code clean}. */
    protected final void finish(Outcome outcome, NodeResponse<Content> answer, boolean clean) {
        NodeExchange exchange = current;
        current = null;
        exchange.cancelDetachedTimeout();
        boolean noPlace = outcome == Outcome.REJECTED && exchange.isOnNewConnection();
        if (noPlace) {
            pool.connectionRejected(target);
        }
        if (clean && target.isCurrent()) {
            pool.startCooldown(this);
        } else {
            context.close();
        }
        exchange.end(noPlace ? Outcome.NO_PLACE : outcome, answer);
    }

    /** Ends the exchange, if there is one, as the connection's own end. */
    protected final void connectionLost() {
        if (current != null) {
            current.connectionLost();
        }
    }

    /** What came makes no sense: the request may have run, and the connection is of no further use. */
    protected final void protocolError() {
        if (current != null && current.isWritten()) {
            current.end(Outcome.ERROR, null);
        } else {
            connectionLost();
        }
        context.close();
    }

    final void write(NodeExchange exchange) {
        current = exchange;
        resetExchangeState();
        exchange.connectionIdleMs = used ? idleMs(pool.nowNanos()) : 0;
        if (exchange.attempt() != null) {
            exchange.attempt().writeStarted(!used);
        }
        used = true;
        exchange.channel = context.channel();
        // The promise covers the whole message: it fails if the connection breaks before the last byte is written.
        send(buildMessage(exchange)).addListener(f -> {
            if (f.isSuccess()) {
                exchange.markWritten();
            } else {
                context.close();
                exchange.connectionLost();
            }
        });
    }

    final double idleMs(long nowNanos) {
        return Math.max(1, nowNanos - idleSinceNanos) / 1e6;
    }

    final boolean isActive() {
        return context.channel().isActive();
    }

    final void close() {
        context.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.remove(this);
        if (current != null) {
            current.cancelDetachedTimeout();
        }
        connectionClosed();
    }
}

package ridgemill.gateway.back;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import ridgemill.core.NodeResponse;
import ridgemill.gateway.net.Content;
import ridgemill.policy.Router.Outcome;

/**
 * A connection to a node that carries one exchange at a time: the part that does not depend on the protocol. Subclasses
 * read and write the messages of their protocol and call the methods of this class to end the exchange.
 */
public abstract class NodeConnection extends ChannelInboundHandlerAdapter {

    private NodeConnectionPool pool;
    NodeConnectionPool.Target target;
    private ChannelHandlerContext context;
    private NodeExchange current;
    long idleSinceNanos;
    private boolean used;

    /** Adds the protocol's codec, and this handler last, to the pipeline of a new connection. */
    protected abstract void install(ChannelPipeline pipeline);

    /** Builds the message to write for an exchange; called when the connection is ready to write it. */
    protected abstract Object buildMessage(NodeExchange exchange);

    /** Writes a message; the future completes when its last byte has been passed to the operating system. */
    protected ChannelFuture send(Object message) {
        return context.writeAndFlush(message);
    }

    /** Discards the state of the previous exchange. */
    protected void resetExchangeState() { }

    /**
     * The connection has closed. A complete response that has not been passed on yet may still end the exchange by
     * {@link #finish}.
     */
    protected abstract void connectionClosed();

    void attach(NodeConnectionPool pool, NodeConnectionPool.Target target) {
        this.pool = pool;
        this.target = target;
    }

    /** The exchange that is waiting for its response; null between exchanges. */
    protected final NodeExchange current() {
        return current;
    }

    protected final ChannelHandlerContext context() {
        return context;
    }

    /** Ends the exchange with a response; the connection is kept for reuse if {@code reusable}. */
    protected final void finish(Outcome outcome, NodeResponse<Content> response, boolean reusable) {
        NodeExchange exchange = current;
        current = null;
        exchange.cancelDetachedTimeout();
        boolean connectionRejected = outcome == Outcome.REJECTED && exchange.isOnNewConnection();
        if (connectionRejected) {
            pool.connectionRejected(target);
        }
        if (reusable && target.isCurrent()) {
            pool.startCooldown(this);
        } else {
            context.close();
        }
        exchange.end(connectionRejected ? Outcome.NO_PLACE : outcome, response);
    }

    /** Ends the exchange, if there is one, because the connection was lost. */
    protected final void connectionLost() {
        if (current != null) {
            current.connectionLost();
        }
    }

    /**
     * Closes the connection after input that violates the protocol. The exchange ends as an error, as the request may
     * have been executed, or as a lost connection if its request was not fully written.
     */
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
        // The future covers the whole message: it fails if the connection breaks before the last byte is written.
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

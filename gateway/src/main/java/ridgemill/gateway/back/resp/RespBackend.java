package ridgemill.gateway.back.resp;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ridgemill.core.Attempt;
import ridgemill.gateway.back.Dialer;
import ridgemill.gateway.back.NodeBackend;
import ridgemill.gateway.back.NodeTargets;
import ridgemill.gateway.back.ConnectionLimit;
import ridgemill.gateway.membership.HostList;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.Transport;
import ridgemill.gateway.net.resp.Resp;
import ridgemill.policy.Router.Outcome;

/**
 * A backend for nodes that use RESP: a few connections to each node, with many pipelined commands on each connection.
 * It never retries: every exchange ends once, with the outcome that its own connection showed.
 */
public final class RespBackend implements NodeBackend {

    /** Maximum connections to one node; more would only share its single thread. */
    static final int MAX_CONNECTIONS_PER_NODE = 8;
    /** Pending commands on one connection from which on another one is opened: each waits for those before it. */
    static final int NEW_CONNECTION_THRESHOLD = 4;
    /** Maximum pending commands on one connection. */
    static final int MAX_PENDING_PER_CONNECTION = 32;
    /** How long the reply to an abandoned command may be missing while other commands wait behind it. */
    private static final long ABANDONED_REPLY_TIMEOUT_MS = 500;
    /** Idle connections are closed after this fraction of the node's own idle timeout. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.75;
    private static final long IDLE_CHECK_INTERVAL_MS = 1000;

    private final EventLoop loop;
    private final Dialer dialer;
    private final RespNodeConfig nodeConfig;
    private final ConnectionLimit connectionLimit;
    private final double idleTimeoutMs;
    private final Consumer<String> drainListener;
    private final NodeTargets<Target> targets = new NodeTargets<>(Target::new);
    private final List<RespConnection> connections = new ArrayList<>();
    private final CacheFillTracker cacheFills;
    private boolean idleCheckScheduled;

    /**
     * Creates a backend without connections.
     *
     * @param nodeConfig how to communicate with the nodes
     * @param connectTimeoutMs how long connecting may take, in milliseconds
     * @param nodeIdleTimeoutMs the idle timeout of the nodes' side, in milliseconds; may be infinite
     * @param connectionLimit counts each connection that is open or connecting
     * @param drainListener receives the name of each node that reports that it is draining
     */
    public RespBackend(EventLoop loop, Transport transport, RespNodeConfig nodeConfig, double connectTimeoutMs,
                    double nodeIdleTimeoutMs, ConnectionLimit connectionLimit, Consumer<String> drainListener) {
        this.loop = loop;
        this.nodeConfig = nodeConfig;
        this.connectionLimit = connectionLimit;
        this.idleTimeoutMs = nodeIdleTimeoutMs * IDLE_TIMEOUT_FRACTION;
        this.drainListener = drainListener;
        this.cacheFills = nodeConfig.dialect() == RespNodeConfig.Dialect.PLAIN && nodeConfig.copyTtlMs() > 0
                ? new CacheFillTracker(nodeConfig.copyTtlMs()) : null;
        this.dialer = new Dialer(loop, transport, connectTimeoutMs, connectionLimit);
        connectionLimit.register(this);
    }

    RespNodeConfig nodeConfig() {
        return nodeConfig;
    }

    @Override
    public void applyHostList(HostList list) {
        targets.applyHostList(list);
    }

    @Override
    public void closeIdleConnections(String node) {
        targets.closeIdle(node);
    }

    @Override
    public Exchange send(String node, Attempt<Content> attempt, double timeoutMs, Listener<Content> listener) {
        RespExchange exchange = new RespExchange(attempt, listener);
        if (cacheFills != null && attempt != null && attempt.command().write()) {
            // From here on the write may be executed at any time, even if no response ever arrives.
            cacheFills.recordWrite(attempt.command().target(), true);
        }
        exchange.timeout = loop.schedule(exchange::timedOut, (long) (timeoutMs * 1e6), TimeUnit.NANOSECONDS);
        Target target = targets.get(node);
        if (target == null) {
            exchange.end(Outcome.CONNECT_FAILED, null);
            return exchange;
        }
        RespConnection leastLoaded = null;
        for (RespConnection c : target.connections) {
            if (c.isUsable() && (leastLoaded == null || c.pendingCommands() < leastLoaded.pendingCommands())) {
                leastLoaded = c;
            }
        }
        if (leastLoaded != null && leastLoaded.pendingCommands() < NEW_CONNECTION_THRESHOLD) {
            leastLoaded.send(exchange);
        } else if (target.connections.size() < MAX_CONNECTIONS_PER_NODE && connectionLimit.ensureCapacity()) {
            connect(target).send(exchange);
        } else if (leastLoaded != null && leastLoaded.pendingCommands() < MAX_PENDING_PER_CONNECTION) {
            leastLoaded.send(exchange);
        } else {
            // All connections are full. This must not count as a failure of the node, as the node did not cause it.
            exchange.end(Outcome.NEVER_SENT, null);
        }
        return exchange;
    }

    @Override
    public void probe(String node, double timeoutMs, Listener<Content> listener) {
        send(node, null, timeoutMs, (outcome, response) -> listener.ended(outcome, null));
    }

    private RespConnection connect(Target target) {
        RespConnection connection = new RespConnection(this, target);
        target.connections.add(connection);
        connections.add(connection);
        long startNanos = System.nanoTime();
        ChannelFuture connecting = dialer.connect(target, connection::install);
        connecting.addListener(f -> {
            if (f.isSuccess()) {
                connection.connected((System.nanoTime() - startNanos) / 1e6);
            } else {
                connecting.channel().close();
                connection.connectFailed();
            }
        });
        scheduleIdleCheck();
        return connection;
    }

    /**
     * Handles the result of an attempt. At plain nodes the gateway stores a copy where a read missed, and deletes the
     * copies of a written key. Both are best effort: they are sent only if a connection has few pending commands, as no
     * client waits for them.
     */
    void responseReceived(Target target, Attempt<Content> attempt, ReplyClassifier.Result result) {
        if (cacheFills == null) {
            return;
        }
        String key = attempt.command().target();
        boolean fromOrigin = target.name().equals(nodeConfig.originNode());
        if (attempt.command().write()) {
            cacheFills.recordWrite(key, result.outcome() != Outcome.REJECTED);
            if (result.outcome() != Outcome.REJECTED) {
                targets.all().stream().filter(t -> !t.name().equals(nodeConfig.originNode()))
                        .forEach(t -> sendInternal(t, cacheFills.deleteCommand(key)));
            }
        } else if (!fromOrigin && result.outcome() == Outcome.MISS) {
            cacheFills.recordMiss(attempt.requestId(), target.name(), key);
        } else if (fromOrigin && result.outcome() == Outcome.OK) {
            String fillNode = cacheFills.takeFillNode(attempt.requestId(), key);
            Target fillTarget = fillNode == null ? null : targets.get(fillNode);
            if (fillTarget != null && !fillTarget.isDraining()) {
                sendInternal(fillTarget, cacheFills.storeCommand(key, result.response().content().bytes()));
            }
        }
    }

    private void sendInternal(Target target, Resp command) {
        for (RespConnection c : target.connections) {
            if (c.canSendInternal()) {
                RespExchange exchange = RespExchange.internal(command);
                exchange.timeout = loop.schedule(exchange::timedOut, ABANDONED_REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
                c.send(exchange);
                return;
            }
        }
    }

    void connectionClosed(RespConnection connection) {
        connection.target.connections.remove(connection);
        connections.remove(connection);
    }

    /** Runs a check after the time that the reply to an abandoned command may be missing. */
    void scheduleAbandonedReplyCheck(Runnable check) {
        loop.schedule(check, ABANDONED_REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** A node has reported that it is draining. */
    void nodeDraining(Target target) {
        if (!target.isDraining() && target.isCurrent()) {
            drainListener.accept(target.name());
        }
    }

    private RespConnection findLongestIdle() {
        RespConnection longestIdle = null;
        for (RespConnection c : connections) {
            if (c.isIdle() && (longestIdle == null || c.idleSinceNanos - longestIdle.idleSinceNanos < 0)) {
                longestIdle = c;
            }
        }
        return longestIdle;
    }

    @Override
    public long longestIdleNanos() {
        RespConnection longestIdle = findLongestIdle();
        return longestIdle == null ? -1 : System.nanoTime() - longestIdle.idleSinceNanos;
    }

    @Override
    public void closeLongestIdle() {
        findLongestIdle().close();
    }

    /** Schedules a check that closes expired idle connections; repeated while there are connections. */
    private void scheduleIdleCheck() {
        if (!idleCheckScheduled && idleTimeoutMs < Long.MAX_VALUE / 1e6) {
            idleCheckScheduled = true;
            loop.schedule(this::closeExpired, IDLE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void closeExpired() {
        long now = System.nanoTime();
        List.copyOf(connections).stream().filter(c -> c.isIdle() && (now - c.idleSinceNanos) / 1e6 >= idleTimeoutMs)
                .forEach(RespConnection::close);
        idleCheckScheduled = false;
        if (!connections.isEmpty()) {
            scheduleIdleCheck();
        }
    }

    /** A node and its connections. */
    static final class Target extends NodeTargets.Target {
        final List<RespConnection> connections = new ArrayList<>();

        Target(HostList.Host host) {
            super(host);
        }

        @Override
        protected void closeIdle() {
            List.copyOf(connections).stream().filter(RespConnection::isIdle).forEach(RespConnection::close);
        }
    }
}

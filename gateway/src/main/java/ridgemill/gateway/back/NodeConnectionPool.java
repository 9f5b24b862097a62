package ridgemill.gateway.back;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import ridgemill.core.Attempt;
import ridgemill.gateway.membership.HostList;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.Transport;
import ridgemill.policy.Router.Outcome;

/**
 * A pool of connections to the cache nodes and the origin. Each connection carries one exchange at a time. The most
 * recently used idle connection is reused first, so that surplus ones expire. The pool never retries: every exchange
 * ends once, with the outcome that its own connection showed.
 */
public final class NodeConnectionPool implements NodeBackend {

    /**
     * Idle connections are closed after this fraction of the node's own timeout: if the node closes one first, a
     * request is lost.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.75;
    /**
     * How long a connection is not reused after an exchange: a duplicate of the response that arrives slightly later
     * would be taken for the response of the next exchange. Measured by timers, because they run after all received
     * data has been read, even if the event loop had paused.
     */
    private static final long COOLDOWN_MS = 4;
    /** How often idle connections are checked within the idle timeout; they are checked at least every second. */
    private static final double IDLE_CHECKS_PER_TIMEOUT = 10;
    private static final double MAX_IDLE_CHECK_INTERVAL_MS = 1000;

    private final EventLoop loop;
    private final Dialer dialer;
    private final Supplier<NodeConnection> connectionFactory;
    private final double idleTimeoutMs;
    private final ConnectionLimit connectionLimit;
    private final NodeTargets<Target> targets = new NodeTargets<>(Target::new);
    private final Deque<NodeConnection> coolingDown = new ArrayDeque<>();
    private final IdleTimeoutEstimator idleAges = new IdleTimeoutEstimator();
    private final LongSupplier nanoClock;
    private Consumer<String> onConnectionRejected = node -> { };
    private boolean cooldownCheckScheduled;
    private boolean idleCheckScheduled;
    private int openConnections;

    /**
     * Creates a pool without connections.
     *
     * @param connectionFactory creates a connection that uses the nodes' protocol
     * @param connectTimeoutMs how long connecting may take, in milliseconds
     * @param nodeIdleTimeoutMs the idle timeout of the nodes' side, in milliseconds; may be infinite
     * @param connectionLimit counts each connection that is open or connecting
     */
    public NodeConnectionPool(EventLoop loop, Transport transport, Supplier<NodeConnection> connectionFactory,
                    double connectTimeoutMs, double nodeIdleTimeoutMs, ConnectionLimit connectionLimit) {
        this(loop, transport, connectionFactory, connectTimeoutMs, nodeIdleTimeoutMs, connectionLimit,
                System::nanoTime);
    }

    /** Creates a pool whose idle times are measured with {@code nanoClock}. */
    public NodeConnectionPool(EventLoop loop, Transport transport, Supplier<NodeConnection> connectionFactory,
                    double connectTimeoutMs, double nodeIdleTimeoutMs, ConnectionLimit connectionLimit,
                    LongSupplier nanoClock) {
        this.loop = loop;
        this.connectionFactory = connectionFactory;
        this.nanoClock = nanoClock;
        this.idleTimeoutMs = nodeIdleTimeoutMs * IDLE_TIMEOUT_FRACTION;
        this.connectionLimit = connectionLimit;
        connectionLimit.register(this);
        this.dialer = new Dialer(loop, transport, connectTimeoutMs, connectionLimit);
    }

    @Override
    public void applyHostList(HostList list) {
        targets.applyHostList(list);
    }

    @Override
    public void closeIdleConnections(String node) {
        targets.closeIdle(node);
    }

    /** Sets the listener for the names of nodes that rejected an attempt on a connection opened for it. */
    public void onConnectionRejected(Consumer<String> listener) {
        onConnectionRejected = listener;
    }

    void connectionRejected(Target target) {
        onConnectionRejected.accept(target.name());
    }

    /** Closes the connections to the nodes with matching names that have been idle for at least {@code minIdleMs}. */
    public void closeIdleLongerThan(Predicate<String> nodes, double minIdleMs) {
        long now = nanoClock.getAsLong();
        for (Target target : targets.all()) {
            if (nodes.test(target.name())) {
                closeIdleAtLeast(target, now, minIdleMs);
            }
        }
    }

    /** The number of connections that are open or connecting. */
    public int openConnections() {
        return openConnections;
    }

    /** Whether no connection is in the cooldown that follows a response. */
    public boolean isCooldownOver() {
        return coolingDown.isEmpty();
    }

    /**
     * Starts an exchange that times out after {@code timeoutMs}. The message is built when a connection is ready to
     * write it, so that the remaining time it carries is correct.
     */
    @Override
    public NodeExchange send(String node, Attempt<Content> attempt, double timeoutMs, Listener<Content> listener) {
        NodeExchange exchange = new NodeExchange(this, attempt, listener);
        exchange.timeout = loop.schedule(exchange::timedOut, (long) (timeoutMs * 1e6), TimeUnit.NANOSECONDS);
        Target target = targets.get(node);
        if (target == null) {
            exchange.end(Outcome.CONNECT_FAILED, null);
            return exchange;
        }
        // A streaming body can be sent only once: use a new connection, which the node is not about to close.
        NodeConnection idle = attempt != null && attempt.hasStreamingBody() ? null : newestIdle(target);
        if (idle != null) {
            idle.write(exchange);
        } else if (connectionLimit.ensureCapacity()) {
            connect(target, exchange);
        } else {
            // The connection limit is reached: opening one more could leave no descriptor for a client that is being
            // accepted. This must not count as a failure of the node, as the node did not cause it.
            exchange.end(Outcome.NEVER_SENT, null);
        }
        return exchange;
    }

    @Override
    public void probe(String node, double timeoutMs, Listener<Content> listener) {
        send(node, null, timeoutMs, (outcome, response) -> listener.ended(outcome, null));
    }

    private NodeConnection newestIdle(Target target) {
        long now = nanoClock.getAsLong();
        double limit = Math.min(idleTimeoutMs, idleAges.limitMs(now));
        for (NodeConnection c = target.idle.pollFirst(); c != null; c = target.idle.pollFirst()) {
            if (c.idleMs(now) >= limit) {
                c.close();
            } else if (c.isActive()) {
                return c;
            }
        }
        return null;
    }

    /** Schedules a check that closes expired idle connections; repeated while any connection is idle. */
    private void scheduleIdleCheck() {
        if (!idleCheckScheduled && idleTimeoutMs < Long.MAX_VALUE / 1e6) {
            idleCheckScheduled = true;
            loop.schedule(this::closeExpired, (long) (Math.min(idleTimeoutMs / IDLE_CHECKS_PER_TIMEOUT,
                    MAX_IDLE_CHECK_INTERVAL_MS) * 1e6), TimeUnit.NANOSECONDS);
        }
    }

    private void closeExpired() {
        long now = nanoClock.getAsLong();
        double limit = Math.min(idleTimeoutMs, idleAges.limitMs(now));
        boolean anyIdle = false;
        for (Target target : targets.all()) {
            closeIdleAtLeast(target, now, limit);
            anyIdle |= !target.idle.isEmpty();
        }
        idleCheckScheduled = false;
        if (anyIdle) {
            scheduleIdleCheck();
        }
    }

    /** The queue is ordered from the most recently used to the longest idle connection. */
    private static void closeIdleAtLeast(Target target, long now, double limitMs) {
        for (NodeConnection c = target.idle.peekLast(); c != null && c.idleMs(now) >= limitMs;
                c = target.idle.peekLast()) {
            target.idle.removeLast();
            c.close();
        }
    }

    private void connect(Target target, NodeExchange exchange) {
        NodeConnection connection = connectionFactory.get();
        connection.attach(this, target);
        openConnections++;
        ChannelFuture connecting = dialer.connect(target, connection::install);
        exchange.channel = connecting.channel();
        long startNanos = nanoClock.getAsLong();
        connecting.channel().closeFuture().addListener(f -> openConnections--);
        connecting.addListener(f -> {
            if (!f.isSuccess()) {
                connecting.channel().close();
                exchange.end(Outcome.CONNECT_FAILED, null);
            } else if (exchange.isEnded()) {
                connecting.channel().close();
            } else if (exchange.connected((nanoClock.getAsLong() - startNanos) / 1e6)) {
                connection.write(exchange);
            } else {
                // Too late for a response: the request is not sent, and the connection is kept for the next exchange.
                connection.idleSinceNanos = nanoClock.getAsLong();
                makeAvailable(connection);
                exchange.end(Outcome.NEVER_SENT, null);
            }
        });
    }

    private NodeConnection findLongestIdle() {
        NodeConnection longestIdle = coolingDown.peekFirst();
        for (Target target : targets.all()) {
            NodeConnection candidate = target.idle.peekLast();
            if (candidate != null && (longestIdle == null
                    || candidate.idleSinceNanos - longestIdle.idleSinceNanos < 0)) {
                longestIdle = candidate;
            }
        }
        return longestIdle;
    }

    @Override
    public long longestIdleNanos() {
        NodeConnection longestIdle = findLongestIdle();
        return longestIdle == null ? -1 : nanoClock.getAsLong() - longestIdle.idleSinceNanos;
    }

    @Override
    public void closeLongestIdle() {
        NodeConnection longestIdle = findLongestIdle();
        remove(longestIdle);
        longestIdle.close();
    }

    /** A node and its idle connections, most recently used first. */
    final class Target extends NodeTargets.Target {
        final Deque<NodeConnection> idle = new ArrayDeque<>();

        Target(HostList.Host host) {
            super(host);
        }

        @Override
        protected void closeIdle() {
            List<NodeConnection> all = new ArrayList<>(idle);
            idle.clear();
            coolingDown.stream().filter(c -> c.target == this).forEach(all::add);
            coolingDown.removeAll(all);
            all.forEach(NodeConnection::close);
        }
    }

    long nowNanos() {
        return nanoClock.getAsLong();
    }

    /**
     * Records how an exchange ended.
     *
     * @param connectionIdleMs how long its connection had been idle before it, in milliseconds
     * @param responseStarted whether bytes of a response arrived
     */
    void recordUse(double connectionIdleMs, Outcome outcome, boolean responseStarted) {
        boolean broke = outcome == Outcome.RESET || outcome == Outcome.CONNECT_FAILED;
        if (outcome != Outcome.CANCELLED && outcome != Outcome.NEVER_SENT) {
            idleAges.recordUse(connectionIdleMs, broke && !responseStarted, nanoClock.getAsLong());
        }
    }

    /** Takes back a connection whose exchange ended cleanly; it becomes available after the cooldown. */
    void startCooldown(NodeConnection connection) {
        connection.idleSinceNanos = nanoClock.getAsLong();
        coolingDown.addLast(connection);
        scheduleCooldownCheck();
    }

    void remove(NodeConnection connection) {
        connection.target.idle.remove(connection);
        coolingDown.remove(connection);
    }

    private void makeAvailable(NodeConnection connection) {
        if (!connection.isActive() || !connection.target.isCurrent()) {
            connection.close();
        } else {
            connection.target.idle.addFirst(connection);
            scheduleIdleCheck();
        }
    }

    /** Makes connections available whose cooldown is over; repeated while any connection is cooling down. */
    private void endCooldowns() {
        long now = nanoClock.getAsLong();
        while (!coolingDown.isEmpty()
                && now - coolingDown.peekFirst().idleSinceNanos >= TimeUnit.MILLISECONDS.toNanos(COOLDOWN_MS)) {
            makeAvailable(coolingDown.removeFirst());
        }
        cooldownCheckScheduled = false;
        scheduleCooldownCheck();
    }

    private void scheduleCooldownCheck() {
        if (!cooldownCheckScheduled && !coolingDown.isEmpty()) {
            cooldownCheckScheduled = true;
            loop.schedule(this::endCooldowns, COOLDOWN_MS, TimeUnit.MILLISECONDS);
        }
    }
}

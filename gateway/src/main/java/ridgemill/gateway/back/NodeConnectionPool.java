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
 * Connections to the cache nodes and the origin. Each carries one exchange at a time; the newest idle one is used
 * first, so that the rest age and close. Nothing is ever sent a second time from here: every exchange ends once, with
 * the outcome that its own connection showed.
 */
public final class NodeConnectionPool implements NodeBackend {

    /** Idle connections close at this part of the node's own limit: one that it closes first loses a request. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.75;
    /**
     * How long a connection rests between two exchanges: a second copy of the answer that comes a moment late would be
     * taken for the next one's. Counted by timers, which run after all that has arrived was read, also after a pause.
     */
    private static final long COOLDOWN_MS = 4;
    /** Idle connections are looked through so often in the time that they may stand, and at least each second. */
    private static final double IDLE_CHECKS_PER_TIMEOUT = 10;
    private static final double MAX_IDLE_CHECK_INTERVAL_MS = 1000;

    private final EventLoop loop;
    private final Dialer dialer;
    private final Supplier<NodeConnection> connectionFactory;
    private final double idleTimeoutMs;
    private final ConnectionLimit connectionLimit;
    private final NodeTargets<Target> targets = new NodeTargets<>(Target::new);
    private final Deque<NodeConnection> coolingDown = new ArrayDeque<>();
    private final IdleAges idleAges = new IdleAges();
    private final LongSupplier nanoClock;
    private Consumer<String> onConnectionRejected = node -> { };
    private boolean cooldownCheckScheduled;
    private boolean idleCheckScheduled;
    private int openConnections;

    /**
     * A pool without connections.
     *
     * @param protocol makes the connection to a node in the nodes' protocol
     * @param connectTimeoutMs how long a connection may take to come up, in milliseconds
     * @param idleMs after how long nodes close idle connections, in milliseconds; may be infinite
     * @param sockets of which each connection that is open or opening takes one
     */
    public NodeConnectionPool(EventLoop loop, Transport transport, Supplier<NodeConnection> protocol, double connectTimeoutMs,
                    double idleMs, ConnectionLimit sockets) {
        this(loop, transport, protocol, connectTimeoutMs, idleMs, sockets, System::nanoTime);
    }

    /** {@code nanos} is the clock that idle times are read from. */
    public NodeConnectionPool(EventLoop loop, Transport transport, Supplier<NodeConnection> protocol, double connectTimeoutMs,
                    double idleMs, ConnectionLimit sockets, LongSupplier nanos) {
        this.loop = loop;
        this.connectionFactory = protocol;
        this.nanoClock = nanos;
        this.idleTimeoutMs = idleMs * IDLE_TIMEOUT_FRACTION;
        this.connectionLimit = sockets;
        sockets.register(this);
        this.dialer = new Dialer(loop, transport, connectTimeoutMs, sockets);
    }

    @Override
    public void applyHostList(HostList list) {
        targets.applyHostList(list);
    }

    @Override
    public void closeIdleConnections(String node) {
        targets.closeIdle(node);
    }

    /** Tells {@code then} from now on which node turned an attempt away on a connection that was opened for it. */
    public void onConnectionRejected(Consumer<String> then) {
        onConnectionRejected = then;
    }

    void connectionRejected(Target target) {
        onConnectionRejected.accept(target.name());
    }

    /** Closes the connections to the nodes of those names that have been idle for longer than {@code olderMs}. */
    public void closeIdleLongerThan(Predicate<String> nodes, double olderMs) {
        long now = nanoClock.getAsLong();
        for (Target target : targets.all()) {
            if (nodes.test(target.name())) {
                closeIdleAtLeast(target, now, olderMs);
            }
        }
    }

    /** Connections that are open or opening. */
    public int openConnections() {
        return openConnections;
    }

    /** Whether no connection is in the pause that follows an answer. */
    public boolean isCooldownOver() {
        return coolingDown.isEmpty();
    }

    /**
     * Starts an exchange that is given up after {@code timeoutMs}. The message is made when a connection is there to
     * write it to, so that the time it names is what is left then.
     */
    @Override
    public NodeExchange send(String node, Attempt<Content> attempt, double timeoutMs, Listener<Content> done) {
        NodeExchange exchange = new NodeExchange(this, attempt, done);
        exchange.timeout = loop.schedule(exchange::timedOut, (long) (timeoutMs * 1e6), TimeUnit.NANOSECONDS);
        Target target = targets.get(node);
        if (target == null) {
            exchange.end(Outcome.CONNECT_FAILED, null);
            return exchange;
        }
        // One that can be carried once goes on a connection that no node is about to close.
        NodeConnection idle = attempt != null && attempt.hasStreamingBody() ? null : newestIdle(target);
        if (idle != null) {
            idle.write(exchange);
        } else if (connectionLimit.ensureCapacity()) {
            connect(target, exchange);
        } else {
            // Out of descriptors: opening one more could leave none for a client that is being accepted. The node is
            // not to blame, so this must not look like a failure of its own.
            exchange.end(Outcome.NEVER_SENT, null);
        }
        return exchange;
    }

    @Override
    public void probe(String node, double timeoutMs, Listener<Content> done) {
        send(node, null, timeoutMs, (outcome, answer) -> done.ended(outcome, null));
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

    /** Closes what has been idle for too long; runs as long as something is idle. */
    private void scheduleIdleCheck() {
        if (!idleCheckScheduled && idleTimeoutMs < Long.MAX_VALUE / 1e6) {
            idleCheckScheduled = true;
            loop.schedule(this::closeExpired, (long) (Math.min(idleTimeoutMs / IDLE_CHECKS_PER_TIMEOUT, MAX_IDLE_CHECK_INTERVAL_MS) * 1e6), TimeUnit.NANOSECONDS);
        }
    }

    private void closeExpired() {
        long now = nanoClock.getAsLong();
        double limit = Math.min(idleTimeoutMs, idleAges.limitMs(now));
        boolean left = false;
        for (Target target : targets.all()) {
            closeIdleAtLeast(target, now, limit);
            left |= !target.idle.isEmpty();
        }
        idleCheckScheduled = false;
        if (left) {
            scheduleIdleCheck();
        }
    }

    /** The newest are first, so that the others age. */
    private static void closeIdleAtLeast(Target target, long now, double limitMs) {
        for (NodeConnection c = target.idle.peekLast(); c != null && c.idleMs(now) >= limitMs; c = target.idle.peekLast()) {
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
        long began = nanoClock.getAsLong();
        connecting.channel().closeFuture().addListener(f -> openConnections--);
        connecting.addListener(f -> {
            if (!f.isSuccess()) {
                connecting.channel().close();
                exchange.end(Outcome.CONNECT_FAILED, null);
            } else if (exchange.isEnded()) {
                connecting.channel().close();
            } else if (exchange.connected((nanoClock.getAsLong() - began) / 1e6)) {
                connection.write(exchange);
            } else {
                // Too late for any answer: the connection is whole, and the next exchange's.
                connection.idleSinceNanos = nanoClock.getAsLong();
                makeAvailable(connection);
                exchange.end(Outcome.NEVER_SENT, null);
            }
        });
    }

    private NodeConnection oldestIdle() {
        NodeConnection oldest = coolingDown.peekFirst();
        for (Target target : targets.all()) {
            NodeConnection candidate = target.idle.peekLast();
            if (candidate != null && (oldest == null || candidate.idleSinceNanos - oldest.idleSinceNanos < 0)) {
                oldest = candidate;
            }
        }
        return oldest;
    }

    @Override
    public long longestIdleNanos() {
        NodeConnection oldest = oldestIdle();
        return oldest == null ? -1 : nanoClock.getAsLong() - oldest.idleSinceNanos;
    }

    @Override
    public void closeLongestIdle() {
        NodeConnection oldest = oldestIdle();
        remove(oldest);
        oldest.close();
    }

    /** A node and its idle connections, newest first. */
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

    /** Takes note of how an exchange on a connection of that idle age ended; {@code answering} if bytes came back. */
    void recordUse(double idle, Outcome outcome, boolean answering) {
        boolean broke = outcome == Outcome.RESET || outcome == Outcome.CONNECT_FAILED;
        if (outcome != Outcome.CANCELLED && outcome != Outcome.NEVER_SENT) {
            idleAges.used(idle, broke && !answering, nanoClock.getAsLong());
        }
    }

    /** Takes a connection back whose exchange ended well. */
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

    /** Hands connections back whose rest is over; runs as long as some are left. */
    private void endCooldowns() {
        long now = nanoClock.getAsLong();
        while (!coolingDown.isEmpty() && now - coolingDown.peekFirst().idleSinceNanos >= TimeUnit.MILLISECONDS.toNanos(COOLDOWN_MS)) {
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

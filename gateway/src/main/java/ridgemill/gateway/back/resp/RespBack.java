package ridgemill.gateway.back.resp;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ridgemill.core.Attempt;
import ridgemill.gateway.back.Dialer;
import ridgemill.gateway.back.NodeBack;
import ridgemill.gateway.back.NodeTargets;
import ridgemill.gateway.back.Sockets;
import ridgemill.gateway.membership.HostList;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.Transport;
import ridgemill.gateway.net.resp.Resp;
import ridgemill.policy.Router.Outcome;

/**
 * Connections to nodes that speak RESP, a few to each, with many commands on one. Nothing is ever sent a second time from
 * here: every exchange ends once, with the outcome that its own connection showed.
 */
public final class RespBack implements NodeBack {

    /** Connections to one node; more would only share its one thread. */
    static final int MOST_CONNECTIONS = 8;
    /** Commands on one connection while another may be opened: each waits for those before it. */
    static final int FEW = 4;
    /** Commands on one connection in any case. */
    static final int MOST = 32;
    /** How long the reply of a command that was given up may stay away while others wait behind it. */
    private static final long ORPHAN_MS = 500;
    private static final double IDLE_PART = 0.75;
    private static final long SWEEP_MS = 1000;

    private final EventLoop loop;
    private final Dialer dialer;
    private final RespNodes nodes;
    private final Sockets sockets;
    private final double idleMs;
    private final Consumer<String> drains;
    private final NodeTargets<Target> targets = new NodeTargets<>(Target::new);
    private final List<RespConnection> connections = new ArrayList<>();
    private final Copies copies;
    private boolean sweeping;

    /**
     * A back without connections.
     *
     * @param connectTimeoutMs how long a connection may take to come up, in milliseconds
     * @param idleMs after how long nodes close idle connections, in milliseconds; may be infinite
     * @param sockets of which each connection that is open or opening takes one
     * @param drains is told of each node that says itself that it takes no new work
     */
    public RespBack(EventLoop loop, Transport transport, RespNodes nodes, double connectTimeoutMs, double idleMs,
                    Sockets sockets, Consumer<String> drains) {
        this.loop = loop;
        this.nodes = nodes;
        this.sockets = sockets;
        this.idleMs = idleMs * IDLE_PART;
        this.drains = drains;
        this.copies = nodes.dialect() == RespNodes.Dialect.PLAIN && nodes.fillMs() > 0 ? new Copies(nodes.fillMs()) : null;
        this.dialer = new Dialer(loop, transport, connectTimeoutMs, sockets);
        sockets.join(this);
    }

    RespNodes nodes() {
        return nodes;
    }

    @Override
    public void list(HostList list) {
        targets.list(list);
    }

    @Override
    public void closeIdleConnections(String node) {
        targets.closeIdle(node);
    }

    @Override
    public Exchange send(String node, Attempt<Content> attempt, double timeoutMs, Listener<Content> done) {
        RespExchange exchange = new RespExchange(attempt, done);
        if (copies != null && attempt != null && attempt.command().write()) {
            // From here on it may run at any time, also when its answer never comes.
            copies.written(attempt.command().target(), true);
        }
        exchange.timer = loop.schedule(exchange::timedOut, (long) (timeoutMs * 1e6), TimeUnit.NANOSECONDS);
        Target target = targets.get(node);
        if (target == null) {
            exchange.end(Outcome.CONNECT_FAILED, null);
            return exchange;
        }
        RespConnection best = null;
        for (RespConnection c : target.connections) {
            if (c.isUsable() && (best == null || c.load() < best.load())) {
                best = c;
            }
        }
        if (best != null && best.load() < FEW) {
            best.send(exchange);
        } else if (target.connections.size() < MOST_CONNECTIONS && sockets.makeRoom()) {
            connect(target).send(exchange);
        } else if (best != null && best.load() < MOST) {
            best.send(exchange);
        } else {
            // All are as full as they may be. The node is not to blame, so this must not look like a failure of its own.
            exchange.end(Outcome.NEVER_SENT, null);
        }
        return exchange;
    }

    @Override
    public void probe(String node, double timeoutMs, Listener<Content> done) {
        send(node, null, timeoutMs, (outcome, answer) -> done.ended(outcome, null));
    }

    private RespConnection connect(Target target) {
        RespConnection connection = new RespConnection(this, target);
        target.connections.add(connection);
        connections.add(connection);
        long began = System.nanoTime();
        ChannelFuture connecting = dialer.connect(target, connection::install);
        connecting.addListener(f -> {
            if (f.isSuccess()) {
                connection.opened((System.nanoTime() - began) / 1e6);
            } else {
                connecting.channel().close();
                connection.refused();
            }
        });
        sweepLater();
        return connection;
    }

    /**
     * An attempt has its answer: at plain nodes it is the gateway that stores a copy where a read missed, and drops copies
     * of what was written. Both as far as there is a connection with leisure: nobody waits for either.
     */
    void answered(Target target, Attempt<Content> attempt, Outcomes.Ended ended) {
        if (copies == null) {
            return;
        }
        String key = attempt.command().target();
        boolean store = target.name().equals(nodes.store());
        if (attempt.command().write()) {
            copies.written(key, ended.outcome() != Outcome.REJECTED);
            if (ended.outcome() != Outcome.REJECTED) {
                targets.all().stream().filter(t -> !t.name().equals(nodes.store())).forEach(t -> say(t, copies.drop(key)));
            }
        } else if (!store && ended.outcome() == Outcome.MISS) {
            copies.missed(attempt.requestId(), target.name(), key);
        } else if (store && ended.outcome() == Outcome.OK) {
            String at = copies.placeOf(attempt.requestId(), key);
            Target missing = at == null ? null : targets.get(at);
            if (missing != null && !missing.isDraining()) {
                say(missing, copies.keep(key, ended.answer().content().bytes()));
            }
        }
    }

    private void say(Target target, Resp what) {
        for (RespConnection c : target.connections) {
            if (c.hasLeisure()) {
                RespExchange own = RespExchange.ofOwn(what);
                own.timer = loop.schedule(own::timedOut, ORPHAN_MS, TimeUnit.MILLISECONDS);
                c.send(own);
                return;
            }
        }
    }

    void closed(RespConnection connection) {
        connection.target.connections.remove(connection);
        connections.remove(connection);
    }

    /** Runs a check when a reply that nobody waits for has stayed away for long enough. */
    void later(Runnable check) {
        loop.schedule(check, ORPHAN_MS, TimeUnit.MILLISECONDS);
    }

    void drains(Target target) {
        if (!target.isDraining() && target.isCurrent()) {
            drains.accept(target.name());
        }
    }

    private RespConnection oldestIdle() {
        RespConnection oldest = null;
        for (RespConnection c : connections) {
            if (c.isIdle() && (oldest == null || c.idleSince - oldest.idleSince < 0)) {
                oldest = c;
            }
        }
        return oldest;
    }

    @Override
    public long idleNanos() {
        RespConnection oldest = oldestIdle();
        return oldest == null ? -1 : System.nanoTime() - oldest.idleSince;
    }

    @Override
    public void closeOldestIdle() {
        oldestIdle().close();
    }

    /** Closes what has been idle for too long; runs as long as there are connections. */
    private void sweepLater() {
        if (!sweeping && idleMs < Long.MAX_VALUE / 1e6) {
            sweeping = true;
            loop.schedule(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void sweep() {
        long now = System.nanoTime();
        List.copyOf(connections).stream().filter(c -> c.isIdle() && (now - c.idleSince) / 1e6 >= idleMs)
                .forEach(RespConnection::close);
        sweeping = false;
        if (!connections.isEmpty()) {
            sweepLater();
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

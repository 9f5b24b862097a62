package ridgemill.cdn.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import ridgemill.cdn.edge.InstanceStats;
import ridgemill.cdn.edge.Invariant;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.proxy.ProxyMeters.ServiceMeters;
import ridgemill.gateway.back.IdleAges;
import ridgemill.gateway.net.Addresses;

/** The connections to one life of one instance; the one that became idle last is used first. */
final class ConnectionPool {

    private static final int CONNECT_TIMEOUT_MS = 400;
    /** Idle connections are closed this long before the instance does so, as the news of it takes time. */
    private static final double IDLE_MARGIN_MS = 400;
    /** An idle time that instances are taken to grant where they state none. */
    private static final double DEFAULT_IDLE_MS = 700;
    /** The part of the granted idle time in which a connection is trusted with what can't be repeated. */
    private static final double NON_RETRYABLE_IDLE_FRACTION = 0.4;

    private final ProxyContext context;
    private final InstanceStats stats;
    private final IdleAges ages;
    private final ServiceMeters meters;
    private final InetSocketAddress address;
    private final ArrayDeque<InstanceConnection> idle = new ArrayDeque<>();
    private final boolean toSharedCache;
    private int open;
    private int maxConnections;
    private int connecting;
    private boolean closed;

    ConnectionPool(ProxyContext context, Instance instance, IdleAges ages, ServiceMeters meters, boolean ofCache) {
        this.context = context;
        this.stats = new InstanceStats(instance);
        this.ages = ages;
        this.meters = meters;
        this.toSharedCache = ofCache;
        this.address = Addresses.parse(instance.address());
    }

    /** What is known of the instance. */
    InstanceStats stats() {
        return stats;
    }

    /** Whether the other side is a shared cache and no instance. */
    boolean isToSharedCache() {
        return toSharedCache;
    }

    /** At most so many connections are held from now on; idle ones beyond that are closed. */
    void setMaxConnections(int connections) {
        maxConnections = connections;
        while (open > maxConnections && !idle.isEmpty()) {
            idle.pollLast().close();
        }
    }

    /** Connections that are open now, in use or idle. */
    int openConnections() {
        return open;
    }

    double now() {
        return context.now();
    }

    /**
     * Gives a connection to the callback, or null if none came up; at once if an idle one serves.
     *
     * @param repeatable whether a request that is lost with an idle connection may be repeated
     */
    void acquire(boolean repeatable, Consumer<InstanceConnection> callback) {
        double nowMs = now();
        for (InstanceConnection newest = idle.pollFirst(); newest != null; newest = idle.pollFirst()) {
            if (newest.isUsable()
                    && newest.idleMs(nowMs) < maxIdleMs(newest) * (repeatable ? 1 : NON_RETRYABLE_IDLE_FRACTION)) {
                callback.accept(newest);
                return;
            }
            newest.close();
        }
        connect(callback);
    }

    private double maxIdleMs(InstanceConnection connection) {
        double stated = connection.keepAliveTimeoutMs();
        double granted = Double.isNaN(stated) ? DEFAULT_IDLE_MS : Math.max(stated / 2, stated - IDLE_MARGIN_MS);
        return Math.min(granted, ages.limitMs(System.nanoTime()));
    }

    private void connect(Consumer<InstanceConnection> callback) {
        connecting++;
        context.invariants()
                .check(open + connecting <= maxConnections, Invariant.CONNECTIONS_WITHIN_PART, address.toString());
        InstanceConnection connection = new InstanceConnection(this);
        ChannelFuture opening = new Bootstrap()
                .group(context.loop())
                .channel(context.sockets().client())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(connection)
                .connect(address);
        opening.addListener(done -> {
            connecting--;
            callback.accept(done.isSuccess() ? connection : null);
        });
    }

    /** A connection has come up. */
    void opened() {
        open++;
        meters.countOpened();
    }

    /** Whether the instance may be sent no new requests any more: it is leaving, gone or silent. */
    boolean isClosed() {
        return closed;
    }

    /** Learns from how an exchange on a connection ended. */
    void exchangeEnded(InstanceConnection connection, boolean broke) {
        ages.used(connection.idleBeforeMs(), broke, System.nanoTime());
    }

    /** Takes a connection back that may be used again. */
    void release(InstanceConnection connection) {
        if (closed || open > maxConnections) {
            connection.close();
        } else {
            idle.addFirst(connection);
        }
    }

    /** A connection has ended. */
    void closed(InstanceConnection connection) {
        open--;
        idle.remove(connection);
    }

    /** Closes connections that have been idle for so long that the instance may close them. */
    void closeExpired(double nowMs) {
        List<InstanceConnection> old = null;
        for (Iterator<InstanceConnection> i = idle.descendingIterator(); i.hasNext(); ) {
            InstanceConnection connection = i.next();
            if (connection.idleMs(nowMs) < maxIdleMs(connection)) {
                break;
            }
            old = old == null ? new ArrayList<>() : old;
            old.add(connection);
        }
        if (old != null) {
            idle.removeAll(old);
            old.forEach(InstanceConnection::close);
        }
    }

    /** Closes what is idle, and what is in use once it is over. */
    void close() {
        closed = true;
        List<InstanceConnection> all = new ArrayList<>(idle);
        idle.clear();
        all.forEach(InstanceConnection::close);
    }
}

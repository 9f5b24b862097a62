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
import ridgemill.gateway.back.IdleTimeoutEstimator;
import ridgemill.gateway.net.Addresses;

/** The connections to one incarnation of one instance. The most recently used idle connection is used first. */
final class ConnectionPool {

    private static final int CONNECT_TIMEOUT_MS = 400;
    /**
     * Idle connections are closed this long before the instance's own timeout, in milliseconds, because the
     * notification of a close takes time to arrive.
     */
    private static final double IDLE_MARGIN_MS = 400;
    /** The assumed idle timeout of instances that do not state one, in milliseconds. */
    private static final double DEFAULT_IDLE_MS = 700;
    /** The fraction of the idle timeout during which a connection is used for requests that cannot be retried. */
    private static final double NON_RETRYABLE_IDLE_FRACTION = 0.4;

    private final ProxyContext context;
    private final InstanceStats stats;
    private final IdleTimeoutEstimator ages;
    private final ServiceMeters meters;
    private final InetSocketAddress address;
    private final ArrayDeque<InstanceConnection> idle = new ArrayDeque<>();
    private final boolean toSharedCache;
    private int open;
    private int maxConnections;
    private int connecting;
    private boolean closed;

    ConnectionPool(
            ProxyContext context,
            Instance instance,
            IdleTimeoutEstimator ages,
            ServiceMeters meters,
            boolean toSharedCache) {
        this.context = context;
        this.stats = new InstanceStats(instance);
        this.ages = ages;
        this.meters = meters;
        this.toSharedCache = toSharedCache;
        this.address = Addresses.parse(instance.address());
    }

    /** The statistics of the instance. */
    InstanceStats stats() {
        return stats;
    }

    /** Whether the pool connects to a shared cache rather than to an instance. */
    boolean isToSharedCache() {
        return toSharedCache;
    }

    /** Limits the number of connections and closes idle connections above the limit. */
    void setMaxConnections(int connections) {
        maxConnections = connections;
        while (open > maxConnections && !idle.isEmpty()) {
            idle.pollLast().close();
        }
    }

    /** The number of open connections, in use or idle. */
    int openConnections() {
        return open;
    }

    /** The memory for the bodies of responses. */
    ResponseMemory responseMemory() {
        return context.responseMemory();
    }

    double now() {
        return context.now();
    }

    /**
     * Passes a connection to the callback, or null if none could be established. The callback is called at once if an
     * idle connection can be used.
     *
     * @param retryable whether the request may be retried if it is lost with an idle connection
     */
    void acquire(boolean retryable, Consumer<InstanceConnection> callback) {
        double nowMs = now();
        for (InstanceConnection newest = idle.pollFirst(); newest != null; newest = idle.pollFirst()) {
            if (newest.isUsable()
                    && newest.idleMs(nowMs) < maxIdleMs(newest) * (retryable ? 1 : NON_RETRYABLE_IDLE_FRACTION)) {
                callback.accept(newest);
                return;
            }
            newest.close();
        }
        connect(callback);
    }

    private double maxIdleMs(InstanceConnection connection) {
        double statedMs = connection.keepAliveTimeoutMs();
        double allowedMs = Double.isNaN(statedMs) ? DEFAULT_IDLE_MS : Math.max(statedMs / 2, statedMs - IDLE_MARGIN_MS);
        return Math.min(allowedMs, ages.limitMs(System.nanoTime()));
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

    /** Records that a connection was established. */
    void opened() {
        open++;
        meters.countOpened();
    }

    /** Whether no new requests may be sent to the instance because it is draining, gone or unresponsive. */
    boolean isClosed() {
        return closed;
    }

    /** Records how an exchange ended, to learn how long idle connections stay usable. */
    void exchangeEnded(InstanceConnection connection, boolean connectionBroke) {
        ages.recordUse(connection.idleBeforeMs(), connectionBroke, System.nanoTime());
    }

    /** Returns a reusable connection to the pool. */
    void release(InstanceConnection connection) {
        if (closed || open > maxConnections) {
            connection.close();
        } else {
            idle.addFirst(connection);
        }
    }

    /** Removes a connection that was closed. */
    void closed(InstanceConnection connection) {
        open--;
        idle.remove(connection);
    }

    /** Closes connections that have been idle for so long that the instance may close them. */
    void closeExpired(double nowMs) {
        List<InstanceConnection> expired = null;
        for (Iterator<InstanceConnection> i = idle.descendingIterator(); i.hasNext(); ) {
            InstanceConnection connection = i.next();
            if (connection.idleMs(nowMs) < maxIdleMs(connection)) {
                break;
            }
            expired = expired == null ? new ArrayList<>() : expired;
            expired.add(connection);
        }
        if (expired != null) {
            idle.removeAll(expired);
            expired.forEach(InstanceConnection::close);
        }
    }

    /** Closes idle connections now and connections in use when their exchange ends. */
    void close() {
        closed = true;
        List<InstanceConnection> all = new ArrayList<>(idle);
        idle.clear();
        all.forEach(InstanceConnection::close);
    }
}

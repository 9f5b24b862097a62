package ridgemill.gateway.front;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.BooleanSupplier;
import ridgemill.connections.ConnectionEviction;

/**
 * The open client connections of one event loop's frontends, at most as many as there are file descriptors for them.
 * Selects the connection to close when another arrives, and decides when connections may not be kept alive.
 */
public final class ClientTable {

    /**
     * One in this many connections may be idle. Beyond that, each response closes its connection and idle connections
     * time out sooner: clients that send one request and stay connected would otherwise use up all connections, and
     * other clients could not connect. The drawback: where that many clients do send further requests, each of these
     * requests opens a new connection.
     */
    private static final int IDLE_DIVISOR = 4;
    private static final long TIMEOUT_CHECK_INTERVAL_MS = 250;

    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final int maxConnections;
    private final IntSupplier maxPerClient;
    private final List<Consumer<Boolean>> acceptingListeners = new ArrayList<>();
    private double idleTimeoutMs;
    private boolean full;
    private double responseDeadlineMs = Double.POSITIVE_INFINITY;
    private boolean draining;
    private BooleanSupplier outOfService = () -> false;
    private boolean closingIdle;
    int idleCount;

    /**
     * @param maxConnections limit of open connections
     * @param maxPerClient limit of open connections from one client address
     */
    public ClientTable(int maxConnections, IntSupplier maxPerClient) {
        this.maxConnections = maxConnections;
        this.maxPerClient = maxPerClient;
    }

    /** Registers a callback that makes a frontend's listeners start (true) or stop (false) accepting. */
    public void onAcceptingChanged(Consumer<Boolean> callback) {
        acceptingListeners.add(callback);
    }

    private void setAccepting(boolean accepting) {
        acceptingListeners.forEach(a -> a.accept(accepting));
    }

    /** Adds a connection and closes another one if the table is full. */
    public void add(ClientConnection connection) {
        makeRoom();
        int limit = maxPerClient.getAsInt();
        if (limit < maxConnections) {
            enforceClientLimit(connection, limit);
        }
        connections.add(connection);
    }

    /**
     * Closes an idle connection of a client that is at its limit. If it has none, marks the new one as over the limit.
     */
    private void enforceClientLimit(ClientConnection connection, int limit) {
        Object client = connection.clientAddress();
        List<ClientConnection> own = client == null ? List.of()
                : connections.stream().filter(c -> client.equals(c.clientAddress())).toList();
        if (own.size() >= limit) {
            own.stream().filter(c -> !c.isBusy() && c.wasRead()).findFirst()
                    .ifPresentOrElse(this::evict, connection::markOverLimit);
        }
    }

    /** Returns the limit of open connections. */
    public int maxConnections() {
        return maxConnections;
    }

    /** Returns the number of open connections. */
    public int size() {
        return connections.size();
    }

    /** Makes each response from now on the last on its connection. */
    public void drain() {
        draining = true;
    }

    /** Limits the time of new requests: they must be answered within {@code ms} from now; infinite for no limit. */
    public void limitResponseTime(double ms) {
        responseDeadlineMs = nowMs() + ms;
    }

    /** Returns the time until that limit in milliseconds, at least 0. */
    public double remainingMs() {
        return Math.max(0, responseDeadlineMs - nowMs());
    }

    /**
     * Sets the condition of being out of service. While it holds, each response is the last on its connection, as while
     * draining; the proxy may return to service.
     */
    public void outOfServiceWhile(BooleanSupplier condition) {
        outOfService = condition;
    }

    /** Returns whether the proxy is out of service. */
    public boolean isOutOfService() {
        return outOfService.getAsBoolean();
    }

    /** Returns whether each response is the last on its connection because the proxy shuts down. */
    public boolean isDraining() {
        return draining;
    }

    /** Closes a connection that has answered its last request, from now on. */
    public void startClosingIdle() {
        closingIdle = true;
    }

    /** Closes the connections without a request. */
    public void closeIdleConnections() {
        List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
    }

    /** Returns whether connections without a request are to close. */
    boolean isClosingIdle() {
        return closingIdle;
    }

    /** Starts checking timeouts, with one timer for all connections, as most never reach a timeout. */
    public void startTimeoutChecks(EventLoop loop) {
        loop.scheduleAtFixedRate(() -> checkTimeouts(System.nanoTime()), TIMEOUT_CHECK_INTERVAL_MS,
                TIMEOUT_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Enforces the timeouts of all connections, then retries an eviction. */
    private void checkTimeouts(long nowNanos) {
        List.copyOf(connections).forEach(c -> c.checkTimeouts(nowNanos));
        retryEviction();
    }

    /**
     * Returns whether no connection may be kept alive. While clients wait to be accepted, each connection that is kept
     * alive keeps one of them waiting.
     */
    boolean disablesKeepAlive() {
        return draining || full || hasManyIdle() || isOutOfService();
    }

    /** Returns whether so many connections are idle that idle ones are closed sooner. */
    boolean hasManyIdle() {
        return idleTimeoutMs == 0 && idleCount >= Math.max(1, maxConnections / IDLE_DIVISOR);
    }

    /**
     * Sets how long connections are kept without a request, however many there are, in milliseconds; 0 for the default
     * timeouts, which depend on the number of idle connections. Called on the loop.
     */
    public void setIdleTimeoutMs(double ms) {
        idleTimeoutMs = ms;
    }

    /** Returns the configured idle timeout in milliseconds; 0 if none was set. */
    double idleTimeoutMs() {
        return idleTimeoutMs;
    }

    /** Moves a connection to the end of the eviction order, as the most recently used. */
    void markUsed(ClientConnection connection) {
        if (connections.remove(connection)) {
            connections.add(connection);
        }
    }

    void remove(ClientConnection connection) {
        connections.remove(connection);
        if (full && connections.size() < maxConnections) {
            full = false;
            setAccepting(true);
        }
    }

    /**
     * Closes a connection so that the next client can connect. If each has a request in progress or is still sending
     * one, further clients wait in the listener's backlog until one has its response: accepting beyond the limit would
     * fail for all.
     */
    private void makeRoom() {
        if (connections.size() + 1 < maxConnections) {
            return;
        }
        ClientConnection victim = ConnectionEviction.selectVictim(connections, nowMs());
        if (victim != null) {
            evict(victim);
        } else {
            full = true;
            setAccepting(false);
        }
    }

    /** Tries again to evict a connection while clients wait: one may have been read by now, or have stopped sending. */
    void retryEviction() {
        ClientConnection victim = full ? ConnectionEviction.selectVictim(connections, nowMs()) : null;
        if (victim != null) {
            evict(victim);
        }
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /**
     * Removes a connection from the table at once. Its close event comes only after the next few connections are
     * accepted, which would all select the same victim, so that many clients that send nothing would fill the table
     * until they time out.
     */
    private void evict(ClientConnection connection) {
        remove(connection);
        connection.close();
    }
}

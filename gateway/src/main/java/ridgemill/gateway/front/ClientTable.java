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
 * The clients' connections of one front, held below the descriptors that are theirs. It says which one goes when
 * another comes, and when none may be kept for a next request.
 */
public final class ClientTable {

    /**
     * Part of the connections that may be kept for a next request. Past it each answer is its connection's last and idle
     * ones go sooner: clients that ask once and stay would else use up the connections that clients may hold, and all
     * others would find none. Could do harm where that many clients do ask again: each request then opens a connection.
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

    /** A table for so many connections, of which one client's address may have so many. */
    public ClientTable(int maxConnections, IntSupplier perClient) {
        this.maxConnections = maxConnections;
        this.maxPerClient = perClient;
    }

    /** Names what makes a front's listeners accept or stop accepting. */
    public void onAcceptingChanged(Consumer<Boolean> accepts) {
        acceptingListeners.add(accepts);
    }

    private void setAccepting(boolean accepts) {
        acceptingListeners.forEach(a -> a.accept(accepts));
    }

    /** Makes room for a connection and takes it in. */
    public void add(ClientConnection connection) {
        makeRoom();
        int most = maxPerClient.getAsInt();
        if (most < maxConnections) {
            enforceClientLimit(connection, most);
        }
        connections.add(connection);
    }

    /** Past a client's share its own idle connection goes; if it has none, the new one is one too many. */
    private void enforceClientLimit(ClientConnection connection, int most) {
        Object client = connection.clientAddress();
        List<ClientConnection> own = client == null ? List.of()
                : connections.stream().filter(c -> client.equals(c.clientAddress())).toList();
        if (own.size() >= most) {
            own.stream().filter(c -> !c.isBusy() && c.wasRead()).findFirst()
                    .ifPresentOrElse(this::evict, connection::markOverLimit);
        }
    }

    /** Connections that may be open. */
    public int maxConnections() {
        return maxConnections;
    }

    /** Connections that are open. */
    public int size() {
        return connections.size();
    }

    /** From now on each answer is its connection's last. */
    public void drain() {
        draining = true;
    }

    /** Requests that come must have their answers within so many milliseconds from now; infinite for no such bound. */
    public void limitResponseTime(double ms) {
        responseDeadlineMs = nowMs() + ms;
    }

    /** What a request that comes now has until then, in milliseconds. */
    public double remainingMs() {
        return Math.max(0, responseDeadlineMs - nowMs());
    }

    /** While a proxy has stepped aside each answer is its connection's last, as while it drains; it may come back. */
    public void outOfServiceWhile(BooleanSupplier isAside) {
        outOfService = isAside;
    }

    /** Whether the proxy has stepped aside. */
    public boolean isOutOfService() {
        return outOfService.getAsBoolean();
    }

    /** Whether each answer is its connection's last because the proxy goes down. */
    public boolean isDraining() {
        return draining;
    }

    /** None is kept any more that has no request. */
    public void closeIdleConnections() {
        closingIdle = true;
        List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
    }

    /** Whether a connection without a request is to close. */
    boolean isClosingIdle() {
        return closingIdle;
    }

    /** Looks at the limits in time from now on: one timer for all, as most connections never reach one. */
    public void startTimeoutChecks(EventLoop loop) {
        loop.scheduleAtFixedRate(() -> checkTimeouts(System.nanoTime()), TIMEOUT_CHECK_INTERVAL_MS, TIMEOUT_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Holds each connection to the limits in time. */
    private void checkTimeouts(long nowNanos) {
        List.copyOf(connections).forEach(c -> c.checkTimeouts(nowNanos));
        retryEviction();
    }

    /** Whether no connection may be kept: while clients wait to be accepted, one that is kept keeps one of them out. */
    boolean disablesKeepAlive() {
        return draining || full || hasManyIdle() || isOutOfService();
    }

    boolean hasManyIdle() {
        return idleTimeoutMs == 0 && idleCount >= Math.max(1, maxConnections / IDLE_DIVISOR);
    }

    /**
     * Keeps connections for so long without a request, in milliseconds, as many as there are; 0 for this table's own
     * measure. To be called on the loop.
     */
    public void setIdleTimeoutMs(double ms) {
        idleTimeoutMs = ms;
    }

    /** For how long a connection without a request is kept where that was set; 0 where it was not. */
    double idleTimeoutMs() {
        return idleTimeoutMs;
    }

    /** To the end of those that may be closed for room: it was the last to be used. */
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
     * Closes one for the next that comes. If each has a request in hand, or goes on sending one, the next clients wait in the
     * listener's backlog until one has its answer: accepting past the limit would fail for all.
     */
    private void makeRoom() {
        if (connections.size() + 1 < maxConnections) {
            return;
        }
        ClientConnection goes = ConnectionEviction.selectVictim(connections, nowMs());
        if (goes != null) {
            evict(goes);
        } else {
            full = true;
            setAccepting(false);
        }
    }

    /** While others wait for a place: one may have been read by now, or have stopped. */
    void retryEviction() {
        ClientConnection goes = full ? ConnectionEviction.selectVictim(connections, nowMs()) : null;
        if (goes != null) {
            evict(goes);
        }
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /**
     * Out of the table at once: its end is told of only after the next few have been accepted, which would all choose it
     * again, and a crowd that says nothing would fill the table until its own time is up.
     */
    private void evict(ClientConnection connection) {
        remove(connection);
        connection.close();
    }
}

package ridgemill.cdn.registry;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import ridgemill.cdn.wire.Link;
import ridgemill.cdn.wire.RegistryMessages;

/** The connected edge proxies and shared caches. Sends numbered updates to them and tracks their acknowledgements. */
final class Subscribers {

    private final String incarnationId;
    private final Map<Link, Long> acknowledged = new HashMap<>();
    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private long lastNumber;

    private record Waiter(long number, Runnable done) {}

    Subscribers(String incarnationId) {
        this.incarnationId = incarnationId;
    }

    /** Returns the number of the last update. */
    long lastNumber() {
        return lastNumber;
    }

    /** Returns the incarnation of the registry, within which the numbers are valid. */
    String incarnationId() {
        return incarnationId;
    }

    /** Adds a subscriber and sends it a snapshot. */
    void add(Link link, RegistryMessages.Snapshot snapshot) {
        acknowledged.put(link, lastNumber - 1);
        link.send(snapshot);
    }

    /** Removes a link. Waiting tasks no longer wait for its acknowledgement. */
    void remove(Link link) {
        if (acknowledged.remove(link) != null) {
            runReadyWaiters();
        }
    }

    /** Returns the links of all subscribers. */
    Collection<Link> links() {
        return List.copyOf(acknowledged.keySet());
    }

    /** Returns the number of the next update. */
    long nextNumber() {
        return ++lastNumber;
    }

    /** Sends an update to each subscriber. */
    void push(Function<Link, RegistryMessages.Update> update) {
        for (Link link : acknowledged.keySet()) {
            link.send(update.apply(link));
        }
    }

    /** Records that a subscriber has applied the updates up to a number. */
    void acknowledged(Link link, long acknowledgedNumber) {
        acknowledged.computeIfPresent(link, (key, previous) -> Math.max(previous, acknowledgedNumber));
        runReadyWaiters();
    }

    /**
     * Runs a task once all subscribers have acknowledged all updates sent so far. Subscribers that disconnect do not
     * count.
     */
    void whenAcknowledged(Runnable task) {
        waiters.add(new Waiter(lastNumber, task));
        runReadyWaiters();
    }

    private void runReadyWaiters() {
        long lowest = Long.MAX_VALUE;
        for (long acknowledgedNumber : acknowledged.values()) {
            lowest = Math.min(lowest, acknowledgedNumber);
        }
        while (!waiters.isEmpty() && waiters.peek().number() <= lowest) {
            waiters.poll().done().run();
        }
    }
}

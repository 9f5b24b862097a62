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

/** The edge proxies and shared caches that are connected: pushes numbered news to them and counts what they acknowledge. */
final class Subscribers {

    private final String incarnationId;
    private final Map<Link, Long> acknowledged = new HashMap<>();
    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private long lastNumber;

    private record Waiter(long number, Runnable done) {}

    Subscribers(String lifeId) {
        this.incarnationId = lifeId;
    }

    /** The number of the last news. */
    long lastNumber() {
        return lastNumber;
    }

    /** This life, in which the numbers count. */
    String incarnationId() {
        return incarnationId;
    }

    /** Adds a proxy and sends it all that is known. */
    void add(Link link, RegistryMessages.Snapshot snapshot) {
        acknowledged.put(link, lastNumber - 1);
        link.send(snapshot);
    }

    /** Forgets a link; those who wait for it wait no longer. */
    void remove(Link link) {
        if (acknowledged.remove(link) != null) {
            runReadyWaiters();
        }
    }

    /** The links of all that are connected. */
    Collection<Link> links() {
        return List.copyOf(acknowledged.keySet());
    }

    /** Numbers the next news. */
    long nextNumber() {
        return ++lastNumber;
    }

    /** Sends each its news. */
    void push(Function<Link, RegistryMessages.Update> news) {
        for (Link link : acknowledged.keySet()) {
            link.send(news.apply(link));
        }
    }

    /** A proxy has carried out the news up to a number. */
    void acknowledged(Link link, long upTo) {
        acknowledged.computeIfPresent(link, (key, before) -> Math.max(before, upTo));
        runReadyWaiters();
    }

    /** Runs a task once all connected proxies have acknowledged all news so far; those that disconnect don't count. */
    void whenAcknowledged(Runnable task) {
        waiters.add(new Waiter(lastNumber, task));
        runReadyWaiters();
    }

    private void runReadyWaiters() {
        long least = Long.MAX_VALUE;
        for (long upTo : acknowledged.values()) {
            least = Math.min(least, upTo);
        }
        while (!waiters.isEmpty() && waiters.peek().number() <= least) {
            waiters.poll().done().run();
        }
    }
}

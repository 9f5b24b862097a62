package ridgemill.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A bounded queue of requests that serves tenants round robin, one request each, so that a tenant with many requests
 * delays only itself. When the queue is full, a tenant with fewer queued requests takes a place from the tenant with
 * the most (longest-queue drop, a kind of active queue management that RFC 7567, section 4.2.1 names). The newest
 * request of that tenant is dropped, as it has waited least.
 *
 * <p>Memory use is proportional to the queued requests: a tenant without any takes none. Not thread-safe.
 */
final class FairQueue {

    /** The result of an offer. */
    enum OfferResult { ACCEPTED, FULL }

    private static final class TenantQueue {
        final Deque<String> ids = new ArrayDeque<>();
    }

    private final Map<String, TenantQueue> queues = new LinkedHashMap<>();
    private final Map<String, String> tenants = new HashMap<>();
    private String displaced;

    /** The number of queued requests. */
    int size() {
        return tenants.size();
    }

    boolean isEmpty() {
        return tenants.isEmpty();
    }

    /**
     * Offers a request to the queue; {@link #displaced} then tells whether another request lost its place to it.
     *
     * @param id of the request, which is not queued yet
     * @param tenant the tenant of the request; empty if it names none
     * @param capacity how many requests the queue may hold now
     */
    OfferResult offer(String id, String tenant, int capacity) {
        displaced = null;
        if (tenants.size() >= capacity) {
            String longest = longestQueue();
            int own = queues.containsKey(tenant) ? queues.get(tenant).ids.size() : 0;
            if (longest == null || queues.get(longest).ids.size() <= own + 1) {
                return OfferResult.FULL;
            }
            displaced = queues.get(longest).ids.peekLast();
            remove(displaced);
        }
        queues.computeIfAbsent(tenant, t -> new TenantQueue()).ids.addLast(id);
        tenants.put(id, tenant);
        return OfferResult.ACCEPTED;
    }

    /** The request that lost its place to the last accepted one; null if none did. */
    String displaced() {
        return displaced;
    }

    /** Removes and returns the next request in turn; null if the queue is empty. */
    String poll() {
        Iterator<Map.Entry<String, TenantQueue>> first = queues.entrySet().iterator();
        if (!first.hasNext()) {
            return null;
        }
        Map.Entry<String, TenantQueue> next = first.next();
        String tenant = next.getKey();
        TenantQueue queue = next.getValue();
        first.remove();
        String id = queue.ids.pollFirst();
        tenants.remove(id);
        if (!queue.ids.isEmpty()) {
            queues.put(tenant, queue);
        }
        return id;
    }

    /** Removes a request before its turn; false if it was not queued. */
    boolean remove(String id) {
        String tenant = tenants.remove(id);
        if (tenant == null) {
            return false;
        }
        TenantQueue queue = queues.get(tenant);
        queue.ids.remove(id);
        if (queue.ids.isEmpty()) {
            queues.remove(tenant);
        }
        return true;
    }

    private String longestQueue() {
        String longest = null;
        int most = 0;
        for (Map.Entry<String, TenantQueue> e : queues.entrySet()) {
            if (e.getValue().ids.size() > most) {
                most = e.getValue().ids.size();
                longest = e.getKey();
            }
        }
        return longest;
    }
}

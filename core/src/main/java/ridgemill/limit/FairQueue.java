package ridgemill.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A bounded line of requests in which tenants take turns, one request each, so that a tenant that asks much waits behind
 * itself and not before others. A full line gives a place of its longest tenant to one whose share is smaller (as
 * longest-queue drop does, RFC 7567, section 4.2.1 names the kind); the newest goes, which has waited least.
 *
 * <p>It is as large as what stands in it: a tenant with nothing in line takes no memory. Not safe for use by several
 * threads.
 */
final class FairQueue {

    /** What became of one that asked for a place. */
    enum OfferResult { ACCEPTED, FULL }

    private static final class TenantQueue {
        final Deque<String> ids = new ArrayDeque<>();
    }

    private final Map<String, TenantQueue> queues = new LinkedHashMap<>();
    private final Map<String, String> tenants = new HashMap<>();
    private String displaced;

    /** How many stand in it. */
    int size() {
        return tenants.size();
    }

    boolean isEmpty() {
        return tenants.isEmpty();
    }

    /**
     * Asks for a place in a line of so many; {@link #displaced} then tells whether another lost its own for it.
     *
     * @param id of the request, not in line yet
     * @param tenant whose it is; the empty text where it names none
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

    /** Who lost its place to the last that was offered; null if nobody did. */
    String displaced() {
        return displaced;
    }

    /** Takes out the one whose turn it is; null where nobody waits. */
    String poll() {
        Iterator<Map.Entry<String, TenantQueue>> first = queues.entrySet().iterator();
        if (!first.hasNext()) {
            return null;
        }
        Map.Entry<String, TenantQueue> turn = first.next();
        String tenant = turn.getKey();
        TenantQueue line = turn.getValue();
        first.remove();
        String id = line.ids.pollFirst();
        tenants.remove(id);
        if (!line.ids.isEmpty()) {
            queues.put(tenant, line);
        }
        return id;
    }

    /** Takes one out before its turn; false if it was not in line. */
    boolean remove(String id) {
        String tenant = tenants.remove(id);
        if (tenant == null) {
            return false;
        }
        TenantQueue line = queues.get(tenant);
        line.ids.remove(id);
        if (line.ids.isEmpty()) {
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

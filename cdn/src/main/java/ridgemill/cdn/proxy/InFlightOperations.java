package ridgemill.cdn.proxy;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import ridgemill.cdn.proxy.control.OperationRegister.RecordedResponse;

/**
 * The keyed operations that this proxy is claiming or running. For each key one request at a time is the leader: only
 * the leader claims the key at the register. Duplicates wait for its result, which costs no votes.
 */
final class InFlightOperations {

    private final Map<String, ArrayDeque<KeyedExchange>> waitingByKey = new HashMap<>();

    /**
     * Makes a request the leader of its key, or lets it wait for the current leader. Returns whether it is the leader.
     */
    boolean tryLead(String key, KeyedExchange exchange) {
        ArrayDeque<KeyedExchange> waiting = waitingByKey.get(key);
        if (waiting == null) {
            waitingByKey.put(key, new ArrayDeque<>(0));
            return true;
        }
        waiting.add(exchange);
        return false;
    }

    /** Removes a request that stopped waiting. */
    void removeWaiter(String key, KeyedExchange exchange) {
        ArrayDeque<KeyedExchange> waiting = waitingByKey.get(key);
        if (waiting != null) {
            waiting.remove(exchange);
        }
    }

    /** The operation has run: all waiting requests receive its response. */
    void completed(String key, RecordedResponse response) {
        ArrayDeque<KeyedExchange> waiting = waitingByKey.remove(key);
        while (waiting != null && !waiting.isEmpty()) {
            waiting.poll().leaderFinished(response);
        }
    }

    /** The leader ended without a recorded response: the first waiting request becomes the leader. */
    void leaderAbandoned(String key) {
        ArrayDeque<KeyedExchange> waiting = waitingByKey.get(key);
        if (waiting == null) {
            return;
        }
        KeyedExchange next = waiting.poll();
        if (next == null) {
            waitingByKey.remove(key);
        } else {
            next.becomeLeader();
        }
    }
}

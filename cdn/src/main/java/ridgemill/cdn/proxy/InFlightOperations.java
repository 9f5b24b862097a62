package ridgemill.cdn.proxy;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import ridgemill.cdn.proxy.control.OperationRegister.RecordedResponse;

/**
 * The keyed operations that this proxy is claiming or running. For each key one request at a time leads: it alone asks
 * the register. Repeats wait for what comes of it, which costs no votes.
 */
final class InFlightOperations {

    private final Map<String, ArrayDeque<KeyedExchange>> waitingByKey = new HashMap<>();

    /** Makes a request the leader of its key, or lets it wait for the one that leads. Returns whether it leads. */
    boolean tryLead(String key, KeyedExchange exchange) {
        ArrayDeque<KeyedExchange> waiting = waitingByKey.get(key);
        if (waiting == null) {
            waitingByKey.put(key, new ArrayDeque<>(0));
            return true;
        }
        waiting.add(exchange);
        return false;
    }

    /** A request does not wait any more. */
    void removeWaiter(String key, KeyedExchange exchange) {
        ArrayDeque<KeyedExchange> waiting = waitingByKey.get(key);
        if (waiting != null) {
            waiting.remove(exchange);
        }
    }

    /** The operation has run: all that wait receive its answer. */
    void completed(String key, RecordedResponse answer) {
        ArrayDeque<KeyedExchange> waiting = waitingByKey.remove(key);
        while (waiting != null && !waiting.isEmpty()) {
            waiting.poll().leaderFinished(answer);
        }
    }

    /** The leader ends without an answer to give again: the first of those that wait leads on. */
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

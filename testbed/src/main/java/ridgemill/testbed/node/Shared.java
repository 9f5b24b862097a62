package ridgemill.testbed.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the nodes of one fleet and their store have in common; used on the testbed's loop alone. */
final class Shared {

    /** At how many of the nodes that missed a fetched value is kept. */
    private static final int FILLS = 2;

    final List<CacheNode> caches = new ArrayList<>();
    private final Map<String, List<CacheNode>> missed = new HashMap<>();
    private final Map<String, Integer> versions = new HashMap<>();

    void missed(String request, CacheNode node) {
        missed.computeIfAbsent(request, r -> new ArrayList<>()).add(node);
    }

    /** The store has answered a read: the value is kept where it missed. */
    void fill(String request, String key) {
        List<CacheNode> nodes = missed.remove(request);
        if (nodes != null) {
            nodes.stream().limit(FILLS).forEach(n -> n.keep(key));
        }
    }

    int version(String key) {
        return versions.getOrDefault(key, 0);
    }

    /** A write has changed the value: every copy is void. */
    void changed(String key) {
        versions.merge(key, 1, Integer::sum);
        caches.forEach(n -> n.drop(key));
    }

    /** The body of an answer: it names the request that it was made for, so that no other can pass for it. */
    String value(StandIn by, String key, String request) {
        String text = "key=" + key + " version=" + version(key) + " for=" + request + " by=" + by.name() + " ";
        return text + ".".repeat(Math.max(0, by.profile.valueBytes() - text.length()));
    }
}

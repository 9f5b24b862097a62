package ridgemill.testbed.node;

import java.util.HashMap;
import java.util.Map;

/** What drops a keyed write's repeats: the whole fleet remembers each key for a while. */
final class RepeatGuard {

    private final Map<String, Double> remembered = new HashMap<>();
    private final double windowMs;

    RepeatGuard(double windowMs) {
        this.windowMs = windowMs;
    }

    /** Whether a write with this key is new, from when on it is remembered; a write without a key always is. */
    boolean admits(double now, String key) {
        if (key == null) {
            return true;
        }
        Double at = remembered.get(key);
        if (at != null && now - at < windowMs) {
            return false;
        }
        remembered.put(key, now);
        return true;
    }
}

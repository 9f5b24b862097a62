package ridgemill.cdn.keys;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/** The recently released claims; beyond the capacity the oldest ones are discarded. */
final class WithdrawnClaims {

    private final int capacity;
    private final Set<String> claimIds = new LinkedHashSet<>();

    WithdrawnClaims(int capacity) {
        this.capacity = capacity;
    }

    void add(String claimId) {
        if (claimIds.add(claimId) && claimIds.size() > capacity) {
            Iterator<String> oldest = claimIds.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    boolean contains(String claimId) {
        return claimIds.contains(claimId);
    }
}

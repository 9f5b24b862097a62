package ridgemill.halls;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Where a request has been: the halls that it entered, the first of them its client's own, and those of them in which it
 * may have run. A request never enters a hall twice, whatever any of them believes of the others.
 *
 * @param halls in order; empty for a request of this hall's own clients that has not left it
 * @param mayHaveRun those of them whose nodes may have carried it out
 */
public record Trail(List<String> halls, Set<String> mayHaveRun) {

    /** A request of this hall's own clients. */
    public static final Trail OWN = new Trail(List.of(), Set.of());

    public Trail {
        halls = List.copyOf(halls);
        mayHaveRun = Set.copyOf(mayHaveRun);
    }

    /** Whether it came from another hall. */
    public boolean isForeign() {
        return !halls.isEmpty();
    }

    /** Whether it was in a hall. */
    public boolean knows(String hall) {
        return halls.contains(hall);
    }

    /** The same after a stay in a hall, in which it may have run or not. */
    public Trail through(String hall, boolean mayRun) {
        List<String> all = new ArrayList<>(halls);
        if (!all.contains(hall)) {
            all.add(hall);
        }
        Set<String> ran = new TreeSet<>(mayHaveRun);
        if (mayRun) {
            ran.add(hall);
        }
        return new Trail(all, ran);
    }
}

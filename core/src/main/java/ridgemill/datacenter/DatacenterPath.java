package ridgemill.datacenter;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Where a request has been: the halls that it entered, the first of them its client's own, and those of them in which it
 * may have run. A request never enters a hall twice, whatever any of them believes of the others.
 *
 * @param datacenters in order; empty for a request of this hall's own clients that has not left it
 * @param mayHaveRun those of them whose nodes may have carried it out
 */
public record DatacenterPath(List<String> datacenters, Set<String> mayHaveRun) {

    /** A request of this hall's own clients. */
    public static final DatacenterPath LOCAL = new DatacenterPath(List.of(), Set.of());

    public DatacenterPath {
        datacenters = List.copyOf(datacenters);
        mayHaveRun = Set.copyOf(mayHaveRun);
    }

    /** Whether it came from another hall. */
    public boolean isForwarded() {
        return !datacenters.isEmpty();
    }

    /** Whether it was in a hall. */
    public boolean contains(String hall) {
        return datacenters.contains(hall);
    }

    /** The same after a stay in a hall, in which it may have run or not. */
    public DatacenterPath append(String hall, boolean mayRun) {
        List<String> all = new ArrayList<>(datacenters);
        if (!all.contains(hall)) {
            all.add(hall);
        }
        Set<String> ran = new TreeSet<>(mayHaveRun);
        if (mayRun) {
            ran.add(hall);
        }
        return new DatacenterPath(all, ran);
    }
}

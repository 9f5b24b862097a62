package ridgemill.datacenter;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The datacenters that a request has entered, its client's own first, and those of them in which it may have run. A
 * request never enters a datacenter twice, whatever the datacenters assume of each other.
 *
 * @param datacenters in order; empty for a request of a local client that has not left this datacenter
 * @param mayHaveRun those of them whose nodes may have run it
 */
public record DatacenterPath(List<String> datacenters, Set<String> mayHaveRun) {

    /** The path of a request of a local client. */
    public static final DatacenterPath LOCAL = new DatacenterPath(List.of(), Set.of());

    public DatacenterPath {
        datacenters = List.copyOf(datacenters);
        mayHaveRun = Set.copyOf(mayHaveRun);
    }

    /** Whether the request came from another datacenter. */
    public boolean isForwarded() {
        return !datacenters.isEmpty();
    }

    /** Whether the request has entered a datacenter. */
    public boolean contains(String datacenter) {
        return datacenters.contains(datacenter);
    }

    /** This path extended by a datacenter, in which the request may have run or not. */
    public DatacenterPath append(String datacenter, boolean mayHaveRunThere) {
        List<String> visited = new ArrayList<>(datacenters);
        if (!visited.contains(datacenter)) {
            visited.add(datacenter);
        }
        Set<String> runs = new TreeSet<>(mayHaveRun);
        if (mayHaveRunThere) {
            runs.add(datacenter);
        }
        return new DatacenterPath(visited, runs);
    }
}

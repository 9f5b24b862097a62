package ridgemill.cdn.quorum;

import java.util.Comparator;

/**
 * A store that votes. It is one disk, not one machine: a machine that lost its disk comes back as another voter, so that
 * nobody counts on what the lost disk held.
 *
 * @param address the IP address of the machine
 * @param diskId a random name that the disk got when it was first used
 */
public record Voter(String address, String diskId) implements Comparable<Voter> {

    private static final Comparator<Voter> ORDER =
            Comparator.comparing(Voter::address).thenComparing(Voter::diskId);

    @Override
    public int compareTo(Voter other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return address + "/" + diskId;
    }
}

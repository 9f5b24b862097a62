package ridgemill.cdn.quorum;

import java.util.Comparator;

/**
 * A store that votes. A voter is identified by its disk: a machine that lost its disk returns as another voter, so that
 * no vote relies on the contents of the lost disk.
 *
 * @param address the IP address of the machine
 * @param diskId a random identifier that the disk was given when it was first used
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

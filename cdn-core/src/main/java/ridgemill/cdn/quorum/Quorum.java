package ridgemill.cdn.quorum;

import java.util.List;

/**
 * The voters of the configuration store. A write counts once a majority has it on disk, a read once a majority has
 * answered, so that each read meets each earlier write on at least one voter.
 *
 * @param voters the IP addresses of the voters, each once, fixed when the system is formed; empty while unknown
 */
public record Quorum(List<String> voters) {

    /** What is known before the voters were learned. */
    public static final Quorum UNKNOWN = new Quorum(List.of());

    public Quorum {
        voters = voters.stream().distinct().toList();
    }

    /** Whether the voters are known. */
    public boolean isKnown() {
        return !voters.isEmpty();
    }

    /** Whether the machine with this IP address is a voter. */
    public boolean isVoter(String address) {
        return voters.contains(address);
    }

    /** How many voters are a majority. */
    public int majority() {
        return voters.size() / 2 + 1;
    }

    /** The voters without the one at an address. */
    public List<String> others(String address) {
        return voters.stream().filter(voter -> !voter.equals(address)).toList();
    }

    /**
     * From how many other voters a voter that lost its disk has to take all that they hold before it votes again. A
     * write that counted on it is on at least {@code majority - 1} of the other {@code n - 1} voters; any {@code n -
     * majority + 1} of these include one of them. With three voters these are both others, with five three of four. A
     * single voter has nobody to ask.
     */
    public int recoveryAnswers() {
        return Math.min(voters.size() - 1, voters.size() - majority() + 1);
    }
}

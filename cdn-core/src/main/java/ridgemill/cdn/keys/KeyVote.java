package ridgemill.cdn.keys;

/**
 * The answer of a voter to a claim.
 *
 * @param outcome whether the vote was granted
 * @param record the record that the voter holds now; null if the register is full
 * @param changed whether the record was changed and must be on disk before the answer is sent
 */
public record KeyVote(Outcome outcome, KeyRecord record, boolean changed) {

    /** The outcome of a vote. */
    public enum Outcome {
        /** The claim holds the key; the answer is sent once the record is on disk. */
        GRANTED,
        /** The claim does not get the key; the record tells why. */
        DENIED,
        /** The register is full; there is no vote. */
        FULL
    }
}

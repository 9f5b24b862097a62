package ridgemill.cdn.keys;

/**
 * What a voter answers to a claim.
 *
 * @param outcome whether the vote was granted
 * @param record what the voter holds now; null if the register is full
 * @param changed whether the record was changed and must be on disk before the answer is given
 */
public record KeyVote(Outcome outcome, KeyRecord record, boolean changed) {

    /** The kinds of answers. */
    public enum Outcome {
        /** The claim holds the key; the answer waits until the record is on disk. */
        GRANTED,
        /** The key is not free; the record says why. */
        DENIED,
        /** The register is full: no vote is given. */
        FULL
    }
}

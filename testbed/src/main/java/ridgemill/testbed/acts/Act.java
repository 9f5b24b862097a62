package ridgemill.testbed.acts;

/**
 * One act as its receiver had it. Times are milliseconds on the ledger's clock.
 *
 * @param task what it was an act of
 * @param holder who acted, as it names itself
 * @param term under which term
 * @param firstAt when its first byte came
 * @param lastAt when its last byte came, which is when it took effect if it did
 * @param accepted whether it took effect; else its term was older than one that had been seen
 */
public record Act(String task, String holder, long term, double firstAt, double lastAt, boolean accepted) {

    @Override
    public String toString() {
        return "%s by %s under %d [%.1f to %.1f] %s"
                .formatted(task, holder, term, firstAt, lastAt, accepted ? "took effect" : "refused");
    }
}

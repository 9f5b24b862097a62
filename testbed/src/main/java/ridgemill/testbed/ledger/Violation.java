package ridgemill.testbed.ledger;

/** A rule that was broken, and by which request. */
public record Violation(Rule rule, String request, String what) {

    /** The rules that a proxy keeps whatever fails. */
    public enum Rule {
        /** What a running proxy took gets exactly one final answer before the client's time is up. */
        ONE_FINAL_ANSWER,
        /** No effect happens twice, no two attempts are out at once, and a refusal promises what is true. */
        NO_SECOND_EFFECT,
        /** Nothing new to a node later than the grace after the proxy was told that it drains or is gone. */
        DRAINS_KEPT,
        /** A cold node is not pushed over. */
        COLD_NODE_SPARED
    }

    @Override
    public String toString() {
        return rule + ": " + request + ": " + what;
    }
}

package ridgemill.testbed.ledger;

/**
 * A class of requests, as the load and the auditor know it.
 *
 * @param name as the proxy's settings name it
 * @param share its part of all requests, by weight
 * @param aimMs the wanted time
 * @param deadlineMs how long a client waits in all
 * @param worth the worth of one answer in time
 * @param effect what repeating it does
 * @param write whether it writes
 */
public record LoadClass(
        String name, double share, double aimMs, double deadlineMs, double worth, Effect effect, boolean write) {

    /** What repeating a request does; the same words as on the proxy's wire. */
    public enum Effect {
        SAFE("retryable"),
        KEYED("dedup"),
        UNSAFE("fragile");

        private final String word;

        Effect(String word) {
            this.word = word;
        }

        /** The settings' word for it. */
        public String word() {
            return word;
        }
    }
}

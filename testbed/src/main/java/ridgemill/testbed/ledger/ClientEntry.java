package ridgemill.testbed.ledger;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** One request as its client saw it. Times are milliseconds on the testbed's clock. */
public final class ClientEntry {

    /** How a client reads an answer. */
    public enum Kind {
        SERVED,
        REFUSED,
        FAILED
    }

    /**
     * One answer that came; {@code whole} is false where it broke off, and the body null where the protocol tells none.
     */
    public record Reply(int status, double at, String body, double retryAfterMs, boolean whole) {

        /** What the status says: 200 is served, 429 and 503 are refusals, all else failed. */
        public Kind kind() {
            return status == 200 && whole ? Kind.SERVED : status == 429 || status == 503 ? Kind.REFUSED : Kind.FAILED;
        }
    }

    private final String id;
    private final String first;
    private final String proxy;
    private final LoadClass service;
    private final String key;
    private final String idempotencyKey;
    private final double budgetMs;
    private final List<Reply> replies = new CopyOnWriteArrayList<>();
    private volatile double sentAt;
    private volatile double leftAt;
    private volatile boolean unsent;
    private volatile boolean cut;
    private volatile double resentAt;

    /** {@code first} is the id of the first try of the same wish; {@code proxy} the one that is asked. */
    public ClientEntry(
            String id,
            String first,
            String proxy,
            LoadClass service,
            String key,
            String idempotencyKey,
            double budgetMs) {
        this.id = id;
        this.first = first;
        this.proxy = proxy;
        this.service = service;
        this.key = key;
        this.idempotencyKey = idempotencyKey;
        this.budgetMs = budgetMs;
    }

    /** Its last byte was written. */
    public void sent(double at) {
        sentAt = at;
    }

    public void replied(Reply reply) {
        replies.add(reply);
    }

    /** The client went away on its own. */
    public void left(double at) {
        leftAt = at;
    }

    /** It never reached a proxy: no connection was had. */
    public void unsent() {
        unsent = true;
    }

    /** Its connection ended without an answer. */
    public void cut() {
        cut = true;
    }

    /** A kept connection ended before its answer, and it goes out once more on a new one, as HTTP clients do. */
    public void resent(double at) {
        resentAt = at;
    }

    public double resentAt() {
        return resentAt;
    }

    public String id() {
        return id;
    }

    public String first() {
        return first;
    }

    public String proxy() {
        return proxy;
    }

    public LoadClass service() {
        return service;
    }

    public String key() {
        return key;
    }

    public String idempotencyKey() {
        return idempotencyKey;
    }

    public double budgetMs() {
        return budgetMs;
    }

    public List<Reply> replies() {
        return replies;
    }

    public double sentAt() {
        return sentAt;
    }

    public double leftAt() {
        return leftAt;
    }

    public boolean isUnsent() {
        return unsent;
    }

    public boolean isCut() {
        return cut;
    }
}

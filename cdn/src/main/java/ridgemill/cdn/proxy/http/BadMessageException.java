package ridgemill.cdn.proxy.http;

/** What came is no message that may be read further. */
public final class BadMessageException extends Exception {

    private static final long serialVersionUID = 1;

    private final int status;

    /** A fault that is answered with this status where the message is a request. */
    public BadMessageException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** The status that answers it. */
    public int status() {
        return status;
    }
}

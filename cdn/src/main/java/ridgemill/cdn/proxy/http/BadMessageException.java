package ridgemill.cdn.proxy.http;

/** Thrown for a message that is malformed or exceeds a limit; the rest of the connection cannot be parsed. */
public final class BadMessageException extends Exception {

    private static final long serialVersionUID = 1;

    private final int status;

    /**
     * Creates an exception.
     *
     * @param status the HTTP status with which a malformed request is answered
     * @param message the reason, for the log
     */
    public BadMessageException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** The HTTP status with which a malformed request is answered. */
    public int status() {
        return status;
    }
}

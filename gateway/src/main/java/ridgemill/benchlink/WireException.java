package ridgemill.benchlink;

/** A line that does not follow the wire's rules. */
public final class WireException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}

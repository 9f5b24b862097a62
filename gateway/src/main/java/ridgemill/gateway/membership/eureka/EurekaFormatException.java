package ridgemill.gateway.membership.eureka;

/** An answer that is none of a registry's: an error page, half of one, or past a bound. */
final class EurekaFormatException extends Exception {

    private static final long serialVersionUID = 1L;

    EurekaFormatException(String what) {
        super(what);
    }
}

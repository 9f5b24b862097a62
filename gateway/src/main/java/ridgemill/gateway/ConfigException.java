package ridgemill.gateway;

/** A configuration that nothing can be started from; the message is for the operator. */
public final class ConfigException extends Exception {

    private static final long serialVersionUID = 1L;

    public ConfigException(String message) {
        super(message);
    }
}

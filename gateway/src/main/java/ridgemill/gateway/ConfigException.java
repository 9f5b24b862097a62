package ridgemill.gateway;

/** Thrown for a configuration with which no proxy can be started. The message is shown to the operator. */
public final class ConfigException extends Exception {

    private static final long serialVersionUID = 1L;

    public ConfigException(String message) {
        super(message);
    }
}

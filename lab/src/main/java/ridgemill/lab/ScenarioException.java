package ridgemill.lab;

/** A scenario that can't be read or played; the message names the place. */
public final class ScenarioException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    public ScenarioException(String name, int line, String what) {
        super(name + ":" + line + ": " + what);
    }
}

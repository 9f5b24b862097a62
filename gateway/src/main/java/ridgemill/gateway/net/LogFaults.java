package ridgemill.gateway.net;

import ridgemill.core.Faults;

/** Writes a dispatcher's faults to the log. */
public final class LogFaults implements Faults {

    private final Log log = new Log();

    @Override
    public void fault(String what, Throwable cause) {
        Log.error(what, cause);
    }

    @Override
    public void odd(String what) {
        log.odd(what);
    }
}

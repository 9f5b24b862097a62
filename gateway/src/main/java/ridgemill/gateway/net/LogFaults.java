package ridgemill.gateway.net;

import ridgemill.core.FaultReporter;

/** Writes a dispatcher's faults to the log. */
public final class LogFaults implements FaultReporter {

    private final Log log = new Log();

    @Override
    public void error(String what, Throwable cause) {
        Log.error(what, cause);
    }

    @Override
    public void warning(String what) {
        log.odd(what);
    }
}

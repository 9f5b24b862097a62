package ridgemill.gateway.operator;

import java.io.IOException;
import ridgemill.classes.PlatformFacts;
import ridgemill.gateway.Config;
import ridgemill.gateway.Service;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.Log;
import ridgemill.policy.Router;

/** A proxy that runs under an operator file, which may be read again while it serves. */
public final class Operated {

    private final String file;
    private final PlatformFacts platform;
    private final Clock clock = new Clock();
    private final OperatorGate gate;
    private Service service;

    private Operated(String file, Config config, OperatorConfig operator) {
        this.file = file;
        this.platform = PlatformFacts.of(config.settings());
        this.gate = new OperatorGate(config.settings(), operator, clock.now());
    }

    /** Reads the file and starts a proxy under it; a file with any problem starts nothing. */
    public static Operated start(Config config, String file, Router router)
            throws OperatorFileException, IOException, InterruptedException {
        Operated operated = new Operated(file, config, OperatorFile.read(file, PlatformFacts.of(config.settings())));
        operated.service = Service.start(config, router, operated.gate);
        operated.service.between(() -> operated.service.classes(operated.gate.classes()));
        return operated;
    }

    public Service service() {
        return service;
    }

    /**
     * Reads the file again. A good one takes effect between two requests, and one with any problem changes nothing; each
     * is said in the log. Not to be called on the loop.
     *
     * @return whether it took effect
     */
    public synchronized boolean reload() {
        try {
            OperatorConfig next = OperatorFile.read(file, platform);
            service.between(() -> {
                gate.changeTo(next, clock.now());
                service.classes(gate.classes());
            });
            Log.info("operator file taken: " + next.classes().size() + " classes, " + next.routes().routes().size()
                    + " routes");
            return true;
        } catch (OperatorFileException e) {
            e.problems().forEach(p -> Log.info("operator file not taken, the old one stays: " + p));
            return false;
        }
    }
}

import java.nio.file.Path;

/** What all cases share: the record beside the script, the switch for the disruption, the exit codes. */
abstract class Case {

    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;
    /** A case that isn't over by then ends with its processes, as one that could not run. */
    private static final long LIMIT_MS = 116_000;

    /** A reason why the case could not run, which says nothing about the rule. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1;

        CannotRun(String reason) {
            super(reason);
        }
    }

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record;

    abstract int coreMachines();

    abstract int edgeMachines();

    /** Whether the settings are those of the site epistrofi-cdn-grown rather than epistrofi-cdn. */
    abstract boolean isGrownSite();

    /** Plays the case; returns whether the rule was broken. */
    abstract boolean play(Deployment deployment) throws Exception;

    /** Runs a case with the record in the file that the first argument names, and exits. */
    final void run(String[] arguments) {
        int code;
        try (Record file = new Record(Path.of(arguments[0]))) {
            record = file;
            record.line("disruption " + (trouble ? "on" : "off"));
            code = play();
            record.line("exit " + code);
        } catch (java.io.IOException unwritable) {
            System.out.println("no record can be written: " + unwritable);
            code = NOT_RUN;
        }
        System.out.println(
                code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken" : "the case could not run");
        System.exit(code);
    }

    private int play() {
        try (Deployment deployment = new Deployment(record, coreMachines(), edgeMachines(), isGrownSite())) {
            Thread cleanUp = new Thread(() -> {
                try {
                    deployment.close();
                } catch (InterruptedException ended) {
                    Thread.currentThread().interrupt();
                }
            });
            Runtime.getRuntime().addShutdownHook(cleanUp);
            Server.daemon(() -> {
                Server.sleep(LIMIT_MS);
                record.line("the time of the case is over");
                System.exit(NOT_RUN);
            });
            deployment.start();
            return play(deployment) ? BROKEN : HELD;
        } catch (CannotRun reason) {
            record.line("could not run: " + reason.getMessage());
            return NOT_RUN;
        } catch (Throwable failed) {
            // An uncaught error would end the JVM with 1, which says that the rule was broken.
            record.line("could not run: " + failed);
            return NOT_RUN;
        }
    }

    /** Records how often the server ran each key, where that is not once. */
    final void recordRuns(Server server) {
        long twice = server.runsByKey.entrySet().stream()
                .filter(entry -> entry.getValue().get() > 1)
                .peek(entry -> record.line(server.id + " ran key " + entry.getKey() + " " + entry.getValue() + " times"))
                .count();
        record.line(server.id + " ran " + server.runsByKey.size() + " keys, " + twice + " of them more than once");
    }

    static void require(boolean condition, String reason) throws CannotRun {
        if (!condition) {
            throw new CannotRun(reason);
        }
    }

    static String route(String name, String host, String prefix, String kind, int timeoutMs, int targetMs, String rest) {
        return "\"" + name + "\":{\"hostname\":\"" + host + "\",\"pathPrefix\":\"" + prefix + "\",\"routeKind\":\""
                + kind + "\",\"timeout\":\"" + timeoutMs + "ms\",\"targetLatency\":\"" + targetMs
                + "ms\",\"priorityLevel\":1," + rest + "}";
    }

    /** The first call of the operator: these routes, one service, the limits of the users' example. */
    static String configuration(String routes, String service, String serviceFields) {
        return "{\"upsert\":{\"routeTable\":{" + routes + "},\"serviceTable\":{\"" + service
                + "\":{\"healthPath\":\"/health\",\"connectionCap\":130,\"protocol\":\"h1\",\"tls\":false,"
                + "\"deduplicates\":false," + serviceFields + "\"version\":7}},"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
                + "\"idleTimeout\":\"15000ms\",\"version\":7}},\"remove\":{\"routeTable\":[]}}";
    }
}

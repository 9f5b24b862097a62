package rig2;

import java.nio.file.Path;

/**
 * Runs a case as a program: {@code Case CLASS RECORD}. The exit code is 10 if the rule was broken, 0 if it held and 2
 * if the case could not run.
 */
public final class Case {

    /** The exit code for a broken rule; a virtual machine that can't start exits with 1. */
    private static final int BROKEN = 10;

    private static final int NOT_RUN = 2;
    private static final long LIMIT_MS = 112_000;

    /** A case. */
    public interface Script {

        /**
         * Plays the case.
         *
         * @param trouble whether the disruption takes place
         * @return whether the rule held
         */
        boolean play(Deployment deployment, Record record, boolean trouble) throws Exception;
    }

    private Case() {}

    public static void main(String[] arguments) {
        int code = NOT_RUN;
        try (Record record = new Record(Path.of(arguments[1]))) {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            Deployment deployment = new Deployment(Path.of("").toAbsolutePath());
            Runtime.getRuntime().addShutdownHook(new Thread(() -> closeQuietly(deployment)));
            startWatchdog(record);
            record.add("case %s, disruption: %b", arguments[0], trouble);
            Script script = (Script) Class.forName(arguments[0]).getDeclaredConstructor().newInstance();
            boolean held = script.play(deployment, record, trouble);
            record.add(held ? "the rule held" : "THE RULE WAS BROKEN");
            code = held ? 0 : BROKEN;
        } catch (Throwable failed) {
            failed.printStackTrace();
        }
        System.exit(code);
    }

    private static void startWatchdog(Record record) {
        Thread watchdog = new Thread(() -> {
            try {
                Thread.sleep(LIMIT_MS);
            } catch (InterruptedException interrupted) {
                return;
            }
            record.add("not finished after %d ms", LIMIT_MS);
            System.exit(NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
    }

    private static void closeQuietly(Deployment deployment) {
        try {
            deployment.close();
        } catch (Exception failed) {
            failed.printStackTrace();
        }
    }
}

package ridgemill.bench;

import java.util.concurrent.TimeUnit;

/** Processes that a measurement has started. */
public final class ChildProcess {

    private ChildProcess() {}

    /** Asks a process to end and waits for that; one that takes too long, or longer than this thread may wait, is killed. */
    public static void end(Process process, long patienceS) {
        process.destroy();
        try {
            if (!process.waitFor(patienceS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException interrupted) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}

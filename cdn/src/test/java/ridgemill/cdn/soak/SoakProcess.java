package ridgemill.cdn.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One program of the system as a process, which can be signalled, killed and restarted. */
final class SoakProcess {

    private static final String JAVA = System.getProperty("java.home") + "/bin/java";

    /** Options for runs of many processes, with less memory than the deploy file gives. */
    static final List<String> SMALL_JVM = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:ActiveProcessorCount=1",
            "-Xshare:auto",
            "-Xms16m",
            "-Xmx64m",
            "-Xss512k",
            "-XX:MaxDirectMemorySize=48m",
            "-Dio.netty.machineId=00:00:00:00:00:00:00:01",
            "-Dio.netty.allocator.numHeapArenas=1",
            "-Dio.netty.allocator.numDirectArenas=1",
            "-Dio.netty.allocator.maxOrder=5");

    private static final long STOP_TIMEOUT_SECONDS = 10;

    private final String program;
    private final List<String> jvmOptions;
    private final Path settings;
    private final int metricsPort;
    private final File log;
    private Process process;
    private boolean paused;

    SoakProcess(String program, List<String> jvmOptions, Path settings, int metricsPort, File log) {
        this.program = program;
        this.jvmOptions = jvmOptions;
        this.settings = settings;
        this.metricsPort = metricsPort;
        this.log = log;
    }

    /** Starts the process if it is not running. */
    synchronized void start() {
        if (isAlive()) {
            return;
        }
        paused = false;
        List<String> command = new java.util.ArrayList<>();
        command.add(JAVA);
        command.addAll(jvmOptions);
        String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        command.addAll(List.of("-cp", classPath, "ridgemill.cdn.app.Main", "--settings=" + settings));
        command.addAll(List.of("--metrics=" + metricsPort + "/metrics", program));
        try {
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                    .start();
        } catch (IOException failed) {
            throw new java.io.UncheckedIOException(failed);
        }
    }

    synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    synchronized boolean isPaused() {
        return paused;
    }

    /** Kills the process at once, also while it is paused. */
    synchronized void kill() {
        if (process != null) {
            process.destroyForcibly();
            await();
        }
    }

    private void await() {
        try {
            process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    /** Pauses the process (SIGSTOP) until {@link #resume}. */
    synchronized void pause() {
        paused = true;
        signal("STOP");
    }

    synchronized void resume() {
        paused = false;
        signal("CONT");
    }

    /** Requests an orderly shutdown (SIGTERM). */
    synchronized void terminate() {
        signal("TERM");
    }

    /** Notifies the process that its settings may have changed (SIGHUP). */
    synchronized void hangUp() {
        signal("HUP");
    }

    private void signal(String name) {
        if (!isAlive()) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (IOException failed) {
            throw new java.io.UncheckedIOException(failed);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}

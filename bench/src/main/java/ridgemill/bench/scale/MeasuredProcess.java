package ridgemill.bench.scale;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import ridgemill.bench.ChildProcess;

/** A real program of the system as a process of its own, and what it has used so far. */
final class MeasuredProcess implements AutoCloseable {

    private static final double TICK_MS = 10;
    private static final int USER_TIME = 11;
    private static final int SYSTEM_TIME = 12;
    private static final long PATIENCE_S = 5;

    private final Process process;

    /**
     * What a process has used since its start.
     *
     * @param cpuMs processor time, in milliseconds; the kernel counts in hundredths of a second
     * @param rssMb resident memory now, in MB
     */
    record Usage(double cpuMs, double rssMb, long readBytes, long writtenBytes, long diskBytes) {}

    private MeasuredProcess(Process process) {
        this.process = process;
    }

    /** Starts a command from the root of the sources under a settings file; its output goes to the log file. */
    static MeasuredProcess start(List<String> command, Path settings, Path log) throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("RIDGEMILL_CONFIG", settings.toString());
        return new MeasuredProcess(builder.redirectInput(new File("/dev/null")).start());
    }

    boolean isAlive() {
        return process.isAlive();
    }

    Usage usage() throws IOException {
        String folder = "/proc/" + process.pid() + "/";
        String stat = Files.readString(Path.of(folder + "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double ticks = Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME]);
        List<String> io = Files.readAllLines(Path.of(folder + "io"));
        List<String> status = Files.readAllLines(Path.of(folder + "status"));
        return new Usage(
                ticks * TICK_MS,
                field(status, "VmRSS:") / 1024.0,
                field(io, "rchar:"),
                field(io, "wchar:"),
                field(io, "write_bytes:"));
    }

    private static long field(List<String> lines, String name) {
        return lines.stream()
                .filter(line -> line.startsWith(name))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                .findFirst()
                .orElse(0);
    }

    @Override
    public void close() {
        ChildProcess.end(process, PATIENCE_S);
    }
}

package ridgemill.lab;

import com.google.gson.JsonObject;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import ridgemill.gateway.net.Addresses;

/** A proxy that is a process of its own, started as a deployment starts it: by the command, a file and signals. */
public final class ProcessProxy implements ProxyUnderTest {

    private static final long PATIENCE_S = 60;
    private static final int LOOK_MS = 500;

    private final String name;
    private final InetSocketAddress address;
    private final Path config;
    private final Path log;
    private final Launch launch;
    private Process process;

    /**
     * What a process is started with beside its file.
     *
     * @param classPath the program's classes; null for those of this process
     * @param options of the Java machine
     * @param arguments behind the command
     * @param environment variables beside those of this process
     */
    public record Launch(String classPath, List<String> options, List<String> arguments, Map<String, String> environment) {

        /** This process's own classes and nothing besides. */
        public static final Launch PLAIN = new Launch(null, List.of(), List.of(), Map.of());

        public Launch {
            options = List.copyOf(options);
            arguments = List.copyOf(arguments);
            environment = Map.copyOf(environment);
        }
    }

    ProcessProxy(String name, InetSocketAddress address, JsonObject config, Path directory) throws IOException {
        this(name, address, config, directory, Launch.PLAIN);
    }

    /** One that gets further arguments behind its command. */
    ProcessProxy(String name, InetSocketAddress address, JsonObject config, Path directory, List<String> arguments) throws IOException {
        this(name, address, config, directory, new Launch(null, List.of(), arguments, Map.of()));
    }

    /** One that is started in a way of the caller's; its file and its log are in the directory. */
    public ProcessProxy(String name, InetSocketAddress address, JsonObject config, Path directory, Launch launch) throws IOException {
        this.launch = launch;
        this.name = name;
        this.address = address;
        this.config = directory.resolve(name + ".json");
        this.log = directory.resolve(name + ".log");
        Files.writeString(this.config, config.toString());
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public void start() throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command = new ArrayList<>(List.of(java, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
                "-Xmx64m", "-Dio.netty.jfr.enabled=false"));
        command.addAll(launch.options());
        command.addAll(List.of("-cp", launch.classPath() == null ? System.getProperty("java.class.path") : launch.classPath(),
                "ridgemill.Main", "serve"));
        command.addAll(launch.arguments());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().putAll(launch.environment());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.directory(new File("."));
        process = builder.start();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!isUp()) {
            if (!process.isAlive() || System.nanoTime() > end) {
                throw new IOException(name + " did not start: " + Files.readString(log));
            }
            // Nothing tells of a start but the port itself.
            process.waitFor(20, TimeUnit.MILLISECONDS);
        }
    }

    private boolean isUp() {
        try {
            HttpURLConnection look = (HttpURLConnection) URI.create("http://" + Addresses.text(address) + "/up").toURL()
                    .openConnection();
            look.setConnectTimeout(LOOK_MS);
            look.setReadTimeout(LOOK_MS);
            return look.getResponseCode() == HttpURLConnection.HTTP_OK;
        } catch (IOException e) {
            return false;
        }
    }

    /** CPU that it has used, in milliseconds. */
    public double cpuMs() {
        return process.toHandle().info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
    }

    /** Memory that it holds, in MB (proc(5): the second field counts resident pages). */
    public double memoryMb() {
        try {
            return Long.parseLong(Files.readString(Path.of("/proc/" + process.pid() + "/statm")).split(" ")[1]) * 4096 / 1e6;
        } catch (IOException e) {
            return Double.NaN;
        }
    }

    @Override
    public void terminate() throws Exception {
        process.destroy();
        if (!process.waitFor(PATIENCE_S, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            throw new IOException(name + " did not end after SIGTERM");
        }
    }

    @Override
    public void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    @Override
    public void hangup() throws Exception {
        if (!signal("HUP")) {
            throw new IOException(name + " has ended and could not be sent SIGHUP");
        }
    }

    /** Stops it where it is; it holds what it has, and nobody hears of it. False where it has ended before that came. */
    public boolean stop() throws Exception {
        return signal("STOP");
    }

    /** It goes on where it was stopped. False where it has ended before that came. */
    public boolean goOn() throws Exception {
        return signal("CONT");
    }

    /** Whoever ends takes no signal: false for one that has, also in this moment; throws for one that runs. */
    private boolean signal(String signal) throws Exception {
        if (new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor() == 0) {
            return true;
        }
        if (!process.waitFor(1, TimeUnit.SECONDS)) {
            throw new IOException(name + " could not be sent SIG" + signal);
        }
        return false;
    }

    /** Whether it runs, or is stopped. */
    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Its process id. */
    public long pid() {
        return process.pid();
    }

    /** What it wrote to its log so far, over all its starts. */
    public String log() {
        try {
            return Files.exists(log) ? Files.readString(log) : "";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

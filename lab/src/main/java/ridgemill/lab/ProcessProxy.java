package ridgemill.lab;

import com.google.gson.JsonObject;
import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import ridgemill.gateway.net.Addresses;

/** A proxy that is a process of its own, started as a deployment starts it: by the command, a file and signals. */
final class ProcessProxy implements ProxyUnderTest {

    private static final long PATIENCE_S = 60;
    private static final int LOOK_MS = 500;

    private final String name;
    private final InetSocketAddress address;
    private final Path config;
    private final Path log;
    private final List<String> arguments;
    private Process process;

    ProcessProxy(String name, InetSocketAddress address, JsonObject config, Path directory) throws IOException {
        this(name, address, config, directory, List.of());
    }

    /** One that gets further arguments behind its command. */
    ProcessProxy(String name, InetSocketAddress address, JsonObject config, Path directory, List<String> arguments) throws IOException {
        this.arguments = List.copyOf(arguments);
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
                "-Xmx64m", "-Dio.netty.jfr.enabled=false", "-cp", System.getProperty("java.class.path"),
                "ridgemill.Main", "serve"));
        command.addAll(arguments);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("BALANCER_CONFIG", config.toString());
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
    double cpuMs() {
        return process.toHandle().info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
    }

    /** Memory that it holds, in MB (proc(5): the second field counts resident pages). */
    double memoryMb() {
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
    public void kill() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    @Override
    public void hangup() throws Exception {
        new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid())).start().waitFor();
    }
}

package ridgemill.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The command line as an operator meets it: a process of its own, its exit code and what it says. */
class CommandsTest {

    private static final String GOOD = "{\"listen\":\"%s\",\"discovery\":\"127.0.0.1:2\",\"settings\":{\"services\":"
            + "[{\"name\":\"read\",\"effect\":\"retryable\",\"deadline_ms\":1000}]}}";

    @TempDir
    private Path directory;

    private record Ran(int code, String out, String err) { }

    private static Ran run(Path config, String... args) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp", System.getProperty("java.class.path"), "ridgemill.Main"));
        command.addAll(List.of(args));
        ProcessBuilder builder = new ProcessBuilder(command);
        if (config != null) {
            builder.environment().put("BALANCER_CONFIG", config.toString());
        }
        Process process = builder.start();
        process.getOutputStream().close();
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        return new Ran(process.exitValue(), out, err);
    }

    private Path file(String text) throws IOException {
        return Files.writeString(directory.resolve("config.json"), text);
    }

    private static void refused(Ran ran, String place) {
        assertEquals(2, ran.code(), ran.toString());
        List<String> said = ran.err().lines().filter(l -> !l.contains(" INFO ")).toList();
        assertEquals(1, said.size(), ran.err());
        assertTrue(said.get(0).startsWith("ridgemill: ") && said.get(0).contains(place), said.get(0));
    }

    @ParameterizedTest
    @CsvSource({"frob, frob", "serve --nope, --nope", "check, FILE", "check /nowhere/x.json, /nowhere/x.json",
        "version now, now"})
    void aBadCommandLineIsOneLineAndCodeTwo(String line, String place) throws Exception {
        refused(run(null, line.split(" ")), place);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"{\"listen\":|config.json: ", "[]|config.json: ",
        "{\"settings\":{}}|listen: missing", "{\"listen\":\"127.0.0.1:1\",\"settings\":{}}|discovery: missing",
        "{\"listen\":\"here\",\"settings\":{}}|listen: not a numeric address and port: here",
        "{\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"limits\":3,\"settings\":{}}|limits: ",
        "{\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"settings\":3}|settings: "})
    void aBadFileIsRefusedWithItsPlaceByCheckAndByServe(String text, String place) throws Exception {
        Path file = file(text);
        refused(run(null, "check", file.toString()), place);
        refused(run(file, "serve"), place);
    }

    @Test
    void aPortInUseIsNamed() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + taken.getLocalPort();
            refused(run(file(GOOD.formatted(address)), "serve"), address);
        }
    }

    @Test
    void aGoodFileAndTheVersionAreTold() throws Exception {
        Ran checked = run(null, "check", file(GOOD.formatted("127.0.0.1:1")).toString());
        assertEquals(0, checked.code());
        assertTrue(checked.out().contains("good: 1 classes"), checked.out());
        Ran version = run(null, "version");
        assertEquals(0, version.code());
        assertTrue(version.out().startsWith("ridgemill "));
        assertFalse(run(null, "serve", "--help").out().isEmpty());
    }

    @Test
    void whatTwoFilesSayOtherwiseIsTold() throws Exception {
        Path first = Files.writeString(directory.resolve("a.toml"), "version = 1\n[audit]\ntell-version = true\n[control]\nsocket = \"/a\"\n");
        Path second = Files.writeString(directory.resolve("b.toml"), "# later\nversion = 2\n[audit]\n[control]\nsocket = \"/b\"\n");
        Ran ran = run(null, "fleet", "diff", first.toString(), second.toString());
        assertEquals(1, ran.code());
        assertEquals(List.of("- audit.tell-version = true", "- version = 1", "+ version = 2"), ran.out().lines().toList());
        assertEquals(0, run(null, "fleet", "diff", first.toString(), first.toString()).code());
        refused(run(null, "fleet", "diff", first.toString(), "/nowhere/b.toml"), "/nowhere/b.toml: cannot be read");
        refused(run(null, "fleet", "audit", "--socket", "/nowhere/s", "--since", "soon"), "not a time such as 30s");
    }

    /** A feature that is off costs nothing at the start: no class of it is loaded. */
    @Test
    void aBareStartLoadsNoClassOfWhatIsOff() throws Exception {
        Path log = directory.resolve("classes.log");
        Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xlog:class+load:file=" + log, "-cp", System.getProperty("java.class.path"), "ridgemill.Main", "rehearse")
                .redirectErrorStream(true).redirectOutput(directory.resolve("out.log").toFile()).start();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
        List<String> loaded = Files.readAllLines(log).stream().filter(l -> l.contains("ridgemill.")).toList();
        assertTrue(loaded.stream().anyMatch(l -> l.contains("ridgemill.gateway.Service ")), "the log tells of ours");
        assertEquals(List.of(), loaded.stream().filter(l -> l.contains(".operator.") || l.contains(".control.")
                || l.contains(".resp.") || l.contains(".datacenter.") || l.contains(".http2.") || l.contains("ridgemill.route.RouteTable") || l.contains("ridgemill.limit.")
                || l.contains("ridgemill.cli.") || l.contains("ridgemill.idempotency.") || l.contains("core.WriteDeduplicator") || l.contains("OutcomeJson")
                || l.contains("ridgemill.lease.") || l.contains("ridgemill.version.") || l.contains("ridgemill.rollout.") || l.contains(".gateway.lease.")
                || l.contains(".gateway.audit.") || l.contains(".gateway.rollout.") || l.contains("Fingerprint") || l.contains("CancellationCost")).toList());
    }
}

package ridgemill.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.operator.Operated;
import ridgemill.testbed.Testbed;
import ridgemill.testbed.ledger.Auditor;
import ridgemill.testbed.ledger.ClientEntry;
import ridgemill.testbed.ledger.NodeEntry;
import ridgemill.testbed.load.Load;
import ridgemill.testbed.load.LoadProfile;
import ridgemill.testbed.node.CacheNode;
import ridgemill.testbed.node.NodeProfile;
import ridgemill.testbed.registry.RegistryStandIn;

/** A group whose nodes a registry tells of, under load: drains, restarts, outages, and a registry that is wrong. */
class EurekaMembershipTest {

    private static final String APP = "METER-CACHE";
    private static final double BOUND_MS = 2000;
    private static final int NODES = 5;

    @TempDir
    private Path directory;
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private Testbed bed;
    private RegistryStandIn registry;
    private RegistryStandIn second;
    private Operated operated;
    private CompletableFuture<Void> load;

    @BeforeEach
    void make() {
        bed = new Testbed(NODES, NodeProfile.CACHE, NodeProfile.STORE, false, 6000, 3);
        registry = new RegistryStandIn(loops.next());
        second = new RegistryStandIn(loops.next());
        for (CacheNode n : bed.fleet().caches()) {
            n.warm(IntStream.range(0, 300).mapToObj(Load::key).collect(Collectors.toSet()));
            registry.put(APP, n.name(), n.address(), "UP", Map.of("zone", "a"));
            second.put(APP, n.name(), n.address(), "UP", Map.of("zone", "a"));
        }
    }

    private void start(boolean delta) throws Exception {
        start(delta, "eureka = \"meter-cache\"");
    }

    private void start(boolean delta, String source) throws Exception {
        start(delta, source, false);
    }

    private void start(boolean delta, String source, boolean resolve) throws Exception {
        Path file = directory.resolve("gateway.toml");
        Files.writeString(file, """
                [classes.latest-reading]
                effect = "safe"
                [classes.prepaid-balance]
                effect = "safe"
                [classes.supply-status]
                effect = "safe"
                total = "1200ms"
                [classes.recharge-credit]
                effect = "keyed"
                repeat-window = "6s"
                [eureka]
                urls = ["%s", "%s"]
                interval = "200ms"
                delta = %s
                resolve = %s
                [groups.hall]
                %s
                store = "%s"
                [[route]]
                name = "all"
                path = "/api/**"
                group = "hall"
                """.formatted(registry.url(), second.url(), delta, resolve, source, Addresses.text(bed.fleet().store().address())));
        operated = Operating.start(bed, file, LoadProfile.USUAL);
        await(() -> in() == NODES);
    }

    private void load(double perS, double seconds) {
        load = bed.load(LoadProfile.USUAL.rate(perS, seconds), Map.of("p0", operated.service().listenAddress())).start();
    }

    @AfterEach
    void stop() throws Exception {
        if (load != null) {
            load.get(60, TimeUnit.SECONDS);
            assertEquals(List.of(), new Auditor(bed.ledger(), Auditor.Limits.STRICT.withSlack(250 + bed.latenessMs())).audit());
        }
        operated.closeControl();
        operated.service().kill();
        registry.close();
        second.close();
        bed.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private long in() {
        return operated.nodes().stream().filter(l -> l.startsWith("hall c") && l.contains(" IN ")).count();
    }

    private boolean is(String node, String state) {
        return operated.nodes().stream().anyMatch(l -> l.startsWith("hall " + node + " ") && l.contains(" " + state + " "));
    }

    private void await(BooleanSupplier until) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!until.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, () -> "it never came: " + operated.nodes());
            Thread.onSpinWait();
        }
    }

    private void awaitPolls(int more) {
        long due = registry.requests() + second.requests() + more;
        await(() -> registry.requests() + second.requests() >= due);
    }

    private void awaitRequests(int more) {
        int due = bed.ledger().clients().size() + more;
        await(() -> bed.ledger().clients().size() >= due || load.isDone());
    }

    /** What was first sent to a node later than this, on the ledger's clock, and before that. */
    private List<NodeEntry> sent(String node, double from, double to) {
        return bed.ledger().nodes().stream().filter(e -> e.node().equals(node) && e.begunAt() > 0 && e.firstByteAt() > from
                && e.firstByteAt() < to).toList();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void nothingNewGoesToANodeTwoSecondsAfterTheRegistryAcknowledgedItsDrain(boolean delta) throws Exception {
        registry.delay(300);
        start(delta);
        load(150, 6);
        awaitRequests(100);
        for (int i = 0; i < 3; i++) {
            String node = "c" + i;
            registry.override(APP, node, "OUT_OF_SERVICE");
            double acknowledged = bed.ledger().now();
            await(() -> is(node, "DRAINING"));
            double known = bed.ledger().now() - acknowledged;
            awaitRequests(40);
            double until = bed.ledger().now();
            registry.override(APP, node, "UP");
            assertTrue(known < BOUND_MS, "known after " + known);
            assertEquals(List.of(), sent(node, acknowledged + BOUND_MS, until));
            // Of those sent after it was known none goes there at all; one that was under way may have.
            assertEquals(List.of(), sent(node, acknowledged + known + 100, until));
            await(() -> is(node, "IN"));
        }
        assertTrue(registry.asked().stream().anyMatch(a -> a.contains(delta ? "/apps/delta" : "/apps/METER-CACHE")));
    }

    @ParameterizedTest
    @EnumSource(value = RegistryStandIn.Fault.class, names = {"SILENT", "HALF", "ERROR_PAGE", "ERROR", "EMPTY", "THIRD", "OLD"})
    void aRegistryThatIsWrongEmptiesNothing(RegistryStandIn.Fault fault) throws Exception {
        registry.snapshot();
        second.snapshot();
        start(false);
        load(100, 1.5);
        registry.override(APP, "c1", "OUT_OF_SERVICE");
        second.override(APP, "c1", "OUT_OF_SERVICE");
        await(() -> is("c1", "DRAINING"));
        registry.fault(fault);
        second.fault(fault);
        awaitPolls(6);
        assertEquals(NODES - 1, in(), () -> operated.nodes().toString());
        assertTrue(is("c1", "DRAINING"), "an old record does not take the place of the newer one");
        registry.fault(RegistryStandIn.Fault.NONE);
        second.fault(RegistryStandIn.Fault.NONE);
        registry.override(APP, "c1", "UP");
        second.override(APP, "c1", "UP");
        await(() -> in() == NODES);
    }

    @Test
    void withoutAnyRegistryTheFleetStaysAndADeadNodeIsSparedByTraffic() throws Exception {
        start(false);
        load(150, 4);
        awaitRequests(100);
        registry.down();
        second.down();
        await(() -> operated.nodes().stream().anyMatch(l -> l.contains("source eureka") && l.contains("last failure")));
        bed.fleet().node("c2").kill();
        awaitRequests(300);
        assertEquals(NODES, in(), "what it said goes on holding");
        List<ClientEntry> late = bed.ledger().clients().subList(250, bed.ledger().clients().size() - 20);
        long served = late.stream().filter(c -> !c.replies().isEmpty() && c.replies().get(0).kind() == ClientEntry.Kind.SERVED).count();
        assertTrue(served > 0.8 * late.size(), served + " of " + late.size());
        registry.up();
        await(() -> operated.nodes().stream().anyMatch(l -> l.contains("source eureka") && !l.contains("last failure")));
        bed.fleet().node("c2").start();
    }

    @Test
    void oneThatRegistersAnewAfterARestartIsAnotherAndCold() throws Exception {
        start(false);
        load(150, 4);
        awaitRequests(150);
        bed.fleet().node("c3").kill();
        bed.fleet().node("c3").start();
        registry.put(APP, "c3", bed.fleet().node("c3").address(), "UP", Map.of("zone", "a"));
        second.put(APP, "c3", bed.fleet().node("c3").address(), "UP", Map.of("zone", "a"));
        await(() -> operated.nodes().stream().anyMatch(l -> l.startsWith("hall c3") && l.contains("started anew")));
        awaitRequests(200);
        assertEquals(NODES, in());
    }

    @Test
    void theOtherRegistryIsAskedWhereOneFailsAndItsOlderWordChangesNothing() throws Exception {
        start(false);
        load(100, 2);
        // The second lags: it never heard of the drain.
        registry.override(APP, "c0", "OUT_OF_SERVICE");
        await(() -> is("c0", "DRAINING"));
        registry.down();
        awaitPolls(6);
        assertTrue(second.requests() > 3);
        assertTrue(is("c0", "DRAINING"));
        second.override(APP, "c0", "UP");
        second.override(APP, "c0", "UP");
        second.dirty(APP, "c0", 1_700_000_100_000L);
        await(() -> is("c0", "IN"));
        registry.up();
    }

    @Test
    void deltasThatAreRepeatedOrLostAddUpToTheRegistry() throws Exception {
        start(true);
        load(100, 2);
        registry.repeats(true);
        registry.override(APP, "c1", "OUT_OF_SERVICE");
        await(() -> is("c1", "DRAINING"));
        registry.override(APP, "c1", "UP");
        await(() -> is("c1", "IN"));
        registry.repeats(false);
        registry.fault(RegistryStandIn.Fault.LOST_DELTAS);
        int fulls = (int) registry.asked().stream().filter(a -> a.endsWith("/apps/")).count();
        registry.override(APP, "c2", "DOWN");
        await(() -> is("c2", "DRAINING"));
        assertTrue(registry.asked().stream().filter(a -> a.endsWith("/apps/")).count() > fulls, "the hash showed that one was lost");
    }

    @Test
    void xmlAndAnAddressThatMovesAreUnderstood() throws Exception {
        registry.xml(true);
        second.xml(true);
        start(false);
        List<String> before = new ArrayList<>(operated.nodes());
        registry.put(APP, "moved", bed.fleet().node("c4").address(), "UP", Map.of());
        await(() -> is("moved", "IN") && !is("c4", "IN"));
        assertTrue(before.stream().anyMatch(l -> l.startsWith("hall c4 ")));
        registry.remove(APP, "moved");
        await(() -> is("c4", "IN"));
    }

    @Test
    void namesAreLookedUpWhereTheFileAllowsIt() throws Exception {
        registry.named(APP, "c1", "localhost");
        start(false, "eureka = \"meter-cache\"", true);
        load(100, 1);
        awaitRequests(80);
        assertTrue(bed.ledger().nodes().stream().anyMatch(e -> e.node().equals("c1")), "it is reached by its name");
        // RFC 6761, section 6.4: this one never has an address.
        registry.named(APP, "c2", "meter.invalid");
        await(() -> in() == NODES - 1);
    }

    @Test
    void aDrainThatOnlyThePlatformsListTellsOfIsADrain() throws Exception {
        start(false, "eureka = \"meter-cache\"\nplatform = true");
        load(150, 4);
        awaitRequests(80);
        bed.say("c1", "draining");
        double told = bed.ledger().now();
        await(() -> is("c1", "DRAINING"));
        awaitRequests(60);
        assertEquals(List.of(), sent("c1", told + BOUND_MS, Double.MAX_VALUE));
        assertTrue(operated.nodes().stream().anyMatch(l -> l.startsWith("hall c1 ") && l.contains("by platform")));
        bed.say("c1", "up");
        await(() -> is("c1", "IN"));
        // One that the platform names and no registry knows is a node too.
        bed.joinCold("c9");
        await(() -> is("c9", "IN"));
        bed.say("c9", "removed");
        await(() -> operated.nodes().stream().noneMatch(l -> l.startsWith("hall c9 ")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"vip", "svip"})
    void aVirtualAddressStandsForAllInstancesThatHaveIt(String kind) throws Exception {
        start(false, "eureka-" + kind + " = \"meter-cache." + kind + "\"");
        assertTrue(registry.asked().stream().anyMatch(a -> a.equals("GET /eureka/" + kind + "s/meter-cache." + kind)));
        registry.override(APP, "c2", "OUT_OF_SERVICE");
        await(() -> is("c2", "DRAINING"));
    }
}

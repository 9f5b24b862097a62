package ridgemill.bench;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import ridgemill.gateway.Config;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.operator.Operated;
import ridgemill.policy.BalancingRouter;
import ridgemill.testbed.Testbed;
import ridgemill.testbed.load.Load;
import ridgemill.testbed.load.LoadProfile;
import ridgemill.testbed.node.NodeProfile;
import ridgemill.testbed.registry.RegistryStandIn;

/** From a registry's word that a node is out of service to the last first byte that is sent to it. */
public final class EurekaDrain {

    private static final String APP = "METER-CACHE";
    private static final int NODES = 24;
    private static final int CHANGES = 104;
    private static final int AT_ONCE = 8;
    private static final long WATCH_MS = 2400;
    private static final long REST_MS = 300;
    private static final String SETTINGS = """
            {"rank": 0, "balancers": 1, "zone": "a", "tick_ms": 5, "discovery": "automatic",
             "limits": {"cancelling": true, "connect_timeout_ms": 150, "idle_close_ms": 60000, "max_open": 20000,
                        "max_retry_after_ms": 750, "retry_after": true, "try_limit": 6},
             "obligations": {"answer_slack_ms": 20, "cold_from": 0.21, "cold_ms": 2000},
             "services": [{"name": "latest-reading", "effect": "retryable", "objective_ms": 600, "deadline_ms": 1500},
                          {"name": "prepaid-balance", "effect": "retryable", "objective_ms": 500, "deadline_ms": 1500},
                          {"name": "supply-status", "effect": "retryable", "objective_ms": 300, "deadline_ms": 1200},
                          {"name": "recharge-credit", "effect": "dedup", "objective_ms": 750, "deadline_ms": 1500,
                           "repeat_window_ms": 6000}]}""";

    private EurekaDrain() {}

    public static void main(String[] args) throws Exception {
        drains("10 others, answers at once", 10, 0, false);
        drains("1,000 others, answers after 500 ms", 1000, 500, false);
        drains("1,000 others, answers after 500 ms, deltas", 1000, 500, true);
        System.out.printf(
                "%12s %8s %16s %18s %14s%n", "instances", "deltas", "requests/s", "CPU ms a second", "heap MB more");
        for (int count : new int[] {10, 1000, 10_000}) {
            cost(count, false);
            cost(count, true);
        }
    }

    private static Operated operated(RegistryStandIn registry, InetSocketAddress store, boolean delta, Path file)
            throws Exception {
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
                urls = ["%s"]
                delta = %s
                [groups.hall]
                eureka = "%s"
                %s
                [[route]]
                name = "all"
                path = "/api/**"
                group = "hall"
                """.formatted(
                        registry.url(), delta, APP, store == null ? "" : "store = \"" + Addresses.text(store) + "\""));
        Config config = Config.parse(
                "{\"name\":\"p0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"limits\":{"
                        + "\"sockets\":1024},\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[]},\"settings\":" + SETTINGS
                        + "}",
                Map.of());
        return Operated.start(config, file.toString(), new BalancingRouter(config.settings(), 1));
    }

    private static void others(RegistryStandIn registry, int count, String status) {
        for (int i = 0; i < count; i++) {
            registry.put(
                    APP,
                    "other-" + i,
                    new InetSocketAddress("127.1." + i / 250 % 250 + "." + (i % 250 + 1), 2000 + i / 62_500),
                    status,
                    Map.of("zone", "a", "team", "meters"));
        }
    }

    private static void drains(String title, int others, double delayMs, boolean delta) throws Exception {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Path file = Files.createTempFile("eureka", ".toml");
        double[] last = new double[CHANGES];
        long asked;
        double seconds;
        try (Testbed bed = new Testbed(NODES, NodeProfile.CACHE, NodeProfile.STORE, false, 6000, 3);
                RegistryStandIn registry = new RegistryStandIn(loops.next())) {
            bed.fleet().caches().forEach(n -> {
                n.warm(IntStream.range(0, 300).mapToObj(Load::key).collect(Collectors.toSet()));
                registry.put(APP, n.name(), n.address(), "UP", Map.of("zone", "a"));
            });
            others(registry, others, "STARTING");
            registry.delay(delayMs);
            Operated operated = operated(registry, bed.fleet().store().address(), delta, file);
            double length = CHANGES / (double) AT_ONCE * (WATCH_MS + REST_MS) / 1000 + 8;
            CompletableFuture<Void> load = bed.load(
                            LoadProfile.USUAL.rate(400, length),
                            Map.of("p0", operated.service().listenAddress()))
                    .start();
            Thread.sleep(4000);
            long before = registry.requests();
            long begun = System.nanoTime();
            for (int done = 0; done < CHANGES; done += AT_ONCE) {
                double[] acknowledged = new double[AT_ONCE];
                for (int i = 0; i < AT_ONCE; i++) {
                    registry.override(APP, "c" + (done + i) % NODES, "OUT_OF_SERVICE");
                    acknowledged[i] = bed.ledger().now();
                    // Not in step with the polls.
                    Thread.sleep(37);
                }
                Thread.sleep(WATCH_MS);
                for (int i = 0; i < AT_ONCE; i++) {
                    String node = "c" + (done + i) % NODES;
                    double from = acknowledged[i];
                    last[done + i] = bed.ledger().nodes().stream()
                            .filter(e -> e.node().equals(node) && e.begunAt() > 0 && e.firstByteAt() > from)
                            .mapToDouble(e -> e.firstByteAt() - from)
                            .max()
                            .orElse(0);
                    registry.override(APP, node, "UP");
                }
                Thread.sleep(REST_MS);
            }
            asked = registry.requests() - before;
            seconds = (System.nanoTime() - begun) / 1e9;
            load.get(60, TimeUnit.SECONDS);
            operated.closeControl();
            operated.service().kill();
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
            Files.delete(file);
        }
        Arrays.sort(last);
        System.out.printf(
                Locale.ROOT,
                "%s: %d changes, last first byte after the acknowledgement: p50 %.0f ms, p99 %.0f ms, max %.0f ms; "
                        + "%.1f requests a second%n",
                title,
                CHANGES,
                last[CHANGES / 2],
                last[(int) (CHANGES * 0.99)],
                last[CHANGES - 1],
                asked / seconds);
    }

    /** What a list costs that changes little: one instance a second. */
    private static void cost(int count, boolean delta) throws Exception {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Path file = Files.createTempFile("eureka", ".toml");
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        try (RegistryStandIn registry = new RegistryStandIn(loops.next())) {
            others(registry, count, "UP");
            long heap = heap();
            Operated operated = operated(registry, null, delta, file);
            Thread.sleep(3000);
            long before = registry.requests();
            double cpu = cpu(threads, loops);
            for (int i = 0; i < 8; i++) {
                registry.override(APP, "other-" + i % 10, i % 2 == 0 ? "DOWN" : "UP");
                Thread.sleep(1000);
            }
            double used = (cpu(threads, loops) - cpu) / 8;
            System.out.printf(
                    Locale.ROOT,
                    "%12d %8s %16.1f %18.1f %14.1f%n",
                    count,
                    delta,
                    (registry.requests() - before) / 8.0,
                    used,
                    (heap() - heap) / 1e6);
            operated.closeControl();
            operated.service().kill();
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
            Files.delete(file);
        }
    }

    private static long heap() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Milliseconds of all threads but the registry's own. */
    private static double cpu(ThreadMXBean threads, MultiThreadIoEventLoopGroup registry) throws Exception {
        long its = registry.next().submit(() -> Thread.currentThread().getId()).get();
        double sum = 0;
        for (long id : threads.getAllThreadIds()) {
            sum += id == its ? 0 : Math.max(0, threads.getThreadCpuTime(id)) / 1e6;
        }
        return sum;
    }
}

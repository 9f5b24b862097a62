package ridgemill.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import ridgemill.gateway.operator.Operated;
import ridgemill.testbed.Testbed;
import ridgemill.testbed.ledger.Auditor;
import ridgemill.testbed.ledger.ClientEntry;
import ridgemill.testbed.load.Load;
import ridgemill.testbed.load.LoadProfile;
import ridgemill.testbed.node.Fault;
import ridgemill.testbed.node.NodeProfile;

/** A proxy under an operator file: limits, reloads under load, and a storm of retries. */
class OperatorFileTest {

    private static final double SLACK_MS = 250;
    private static final int RELOADS = 20;
    private static final String CLASSES = """
            [defaults]
            total = "1500ms"
            [classes.latest-reading]
            effect = "safe"
            wanted = "%1$s"
            attempts = %2$d
            [classes.prepaid-balance]
            effect = "safe"
            wanted = "%1$s"
            attempts = %2$d
            backoff = "5ms"
            [classes.supply-status]
            effect = "safe"
            total = "1200ms"
            attempts = %2$d
            [classes.recharge-credit]
            effect = "%3$s"
            %4$s
            """;

    @TempDir
    private Path directory;

    private Path file() {
        return directory.resolve("gateway.toml");
    }

    private static String classes(boolean even) {
        return even ? CLASSES.formatted("600ms", 2, "keyed", "repeat-window = \"6s\"")
                : CLASSES.formatted("1200ms", 3, "unsafe", "");
    }

    private interface Task {
        void run(Testbed bed, Operated operated, CompletableFuture<Void> load) throws Exception;
    }

    private Testbed play(String text, LoadProfile profile, Task task) throws Exception {
        Files.writeString(file(), text);
        Testbed bed = new Testbed(5, NodeProfile.CACHE, NodeProfile.STORE, false, 6000, 3);
        try (bed) {
            bed.fleet().caches().forEach(n -> n.warm(IntStream.range(0, profile.keys() / 2).mapToObj(Load::key)
                    .collect(Collectors.toSet())));
            Operated operated = Operating.start(bed, file(), profile);
            try {
                CompletableFuture<Void> load = bed.load(profile, Map.of("p0", operated.service().listenAddress())).start();
                task.run(bed, operated, load);
                load.get(60, TimeUnit.SECONDS);
            } finally {
                operated.service().kill();
            }
        }
        return bed;
    }

    private static void rulesKept(Testbed bed) {
        assertEquals(List.of(), new Auditor(bed.ledger(), Auditor.Limits.STRICT.withSlack(SLACK_MS + bed.latenessMs()))
                .audit());
    }

    @Test
    void twentyReloadsUnderLoadLoseNothingAndAnswerNothingTwice() throws Exception {
        LoadProfile profile = LoadProfile.USUAL.rate(250, 5);
        Testbed bed = play(classes(true), profile, (b, operated, load) -> {
            b.fleet().store().faults().share(Fault.ERROR, 0.1);
            b.fleet().node("c1").faults().share(Fault.RESET_AFTER_RUN, 0.1);
            for (int i = 1; i <= RELOADS; i++) {
                // Each next file waits for more requests to have come, so that all of them meet the load.
                int due = i * 40;
                while (b.ledger().clients().size() < due && !load.isDone()) {
                    Thread.onSpinWait();
                }
                String routes = i % 3 == 0 ? "[[route]]\nname = \"all\"\npath = \"/api/**\"\n" : "";
                Files.writeString(file(), i % 5 == 0 ? "nonsense" : classes(i % 2 == 0) + routes);
                assertEquals(i % 5 != 0, operated.reload().taken(), "reload " + i);
            }
        });
        assertTrue(bed.ledger().clients().size() >= 1000, bed.ledger().clients().size() + " requests");
        rulesKept(bed);
        assertTrue(bed.ledger().clients().stream().allMatch(c -> c.isUnsent() || c.replies().size() == 1));
    }

    @Test
    void aLimitAdmitsItsRateAndTellsTheOthersWhenToComeBack() throws Exception {
        String limits = """
                [limits.class.latest-reading]
                rate = "40/s"
                burst = 20
                """;
        LoadProfile profile = LoadProfile.USUAL.rate(240, 5).retrying(0, 10);
        Testbed bed = play(classes(true) + limits, profile, (b, operated, load) -> { });
        rulesKept(bed);
        List<ClientEntry> limited = bed.ledger().clients().stream()
                .filter(c -> c.service().name().equals("latest-reading")).toList();
        long admitted = limited.stream().filter(c -> c.replies().get(0).status() != 429).count();
        // Never more; less where the machine holds the clients up for longer than the burst makes up for.
        assertTrue(admitted >= 0.7 * 200 && admitted <= 1.1 * 220, admitted + " of " + limited.size());
        limited.stream().filter(c -> c.replies().get(0).status() == 429).forEach(c -> {
            double wait = c.replies().get(0).retryAfterMs();
            assertTrue(wait > 0 && wait <= 26, "a token comes every 25 ms, and it was told " + wait);
        });
        assertTrue(limited.stream().anyMatch(c -> c.replies().get(0).status() == 429));
        assertTrue(bed.ledger().clients().stream().filter(c -> c.service().name().equals("supply-status"))
                .allMatch(c -> c.replies().get(0).status() != 429), "other classes are not held to it");
    }

    @Test
    void theRetryBudgetHoldsAStormOfRetries() throws Exception {
        LoadProfile storm = LoadProfile.USUAL.rate(100, 6).retrying(3, 20).keys(4000, 0);
        Task storeDown = (b, operated, load) -> {
            b.fleet().caches().forEach(n -> n.flush());
            b.fleet().store().kill();
        };
        String budget = """
                [limits.retries]
                share = 0.1
                least = "1/s"
                window = "2s"
                """;
        Testbed without = play(classes(true), storm, storeDown);
        Testbed with = play(classes(true) + budget, storm, storeDown);
        rulesKept(without);
        rulesKept(with);
        double plain = amplification(without);
        double held = amplification(with);
        System.out.printf("requests at nodes for each wish: %.2f without a retry budget, %.2f with one%n", plain, held);
        assertTrue(held < 0.7 * plain, held + " is not well under " + plain);
    }

    /** Requests that reached cache nodes for each wish of a client. */
    private static double amplification(Testbed bed) {
        long wishes = bed.ledger().clients().stream().map(ClientEntry::first).distinct().count();
        return (double) bed.ledger().nodes().stream().filter(e -> e.begunAt() > 0).count() / wishes;
    }
}

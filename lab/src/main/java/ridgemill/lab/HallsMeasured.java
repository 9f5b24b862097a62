package ridgemill.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import ridgemill.lab.TwoHalls.Hall;
import ridgemill.lab.TwoHalls.Plan;
import ridgemill.testbed.HttpText;
import ridgemill.testbed.ledger.Auditor;
import ridgemill.testbed.ledger.ClientEntry;
import ridgemill.testbed.ledger.LoadClass;
import ridgemill.testbed.ledger.NodeEntry;
import ridgemill.testbed.ledger.Violation;
import ridgemill.testbed.link.Link.Conditions;
import ridgemill.testbed.link.Link;
import ridgemill.testbed.load.LoadProfile;

/**
 * What a gateway between two halls does and costs: the same faults with it and without it in one run, judged from the
 * ledgers, and then the price of a crossing.
 */
final class HallsMeasured {

    private static final double PER_S = 130;
    private static final double SECONDS = 49;
    private static final double BIN_MS = 250;
    private static final int SAMPLES = 1000;
    private static final long IDLE_S = 20;

    private final long seed;
    private final Path directory;

    HallsMeasured(long seed, Path directory) {
        this.seed = seed;
        this.directory = directory;
    }

    void run() throws Exception {
        System.out.println("seed " + seed + ", two halls, two gateways and four nodes each, " + Math.round(PER_S) + " requests/s in each");
        Outcome without = play(Plan.USUAL.seed(seed).without(), "without");
        Outcome with = play(Plan.USUAL.seed(seed), "with");
        System.out.printf(Locale.ROOT, "%-58s %10s %10s%n", "", "without", "with");
        row("requests", without.requests(), with.requests());
        row("rules broken", without.violations(), with.violations());
        row("requests that entered a hall twice", without.twice(), with.twice());
        row("credits recorded twice", without.doubled(), with.doubled());
        row("answers after their client's time (50 ms of slack)", without.late(), with.late());
        share("teku's served before any fault", without.teku(0, 5), with.teku(0, 5));
        share("teku's served, its store gone (5 to 15 s)", without.teku(5, 15), with.teku(5, 15));
        share("teku's credits served meanwhile", without.credits(5, 15), with.credits(5, 15));
        share("baneshwor's own served before any fault", without.baneshwor(0, 5), with.baneshwor(0, 5));
        share("baneshwor's own served meanwhile", without.baneshwor(5, 15), with.baneshwor(5, 15));
        share("teku's served, link loses 3% and 20 ms each way (25 to 33 s)", without.teku(25, 33), with.teku(25, 33));
        share("teku's served, link stalls (33 to 36 s)", without.teku(33, 36), with.teku(33, 36));
        share("teku's served, both stores gone (36 to 39 s)", without.teku(36, 39), with.teku(36, 39));
        share("teku's served, link passes one way alone (41 to 45 s)", without.teku(41, 45), with.teku(41, 45));
        share("baneshwor's own served over all", without.baneshwor(0, SECONDS), with.baneshwor(0, SECONDS));
        System.out.printf(Locale.ROOT, "failover: teku's are served as before %.0f ms after the store went; home again %.0f ms after it came back%n",
                with.failoverMs(), with.failBackMs());
        fourTimes();
        crossing();
        rates();
        idle();
    }

    private static void row(String what, long a, long b) {
        System.out.printf(Locale.ROOT, "%-58s %10d %10d%n", what, a, b);
    }

    private static void share(String what, double a, double b) {
        System.out.printf(Locale.ROOT, "%-58s %10.3f %10.3f%n", what, a, b);
    }

    /** What one play left in the ledgers; times are seconds from its start. */
    private record Outcome(Hall tekuHall, Hall baneshworHall, double startMs, long requests, long violations, long twice, long doubled,
                           long late) {

        double teku(double from, double to) {
            return served(tekuHall, startMs + from * 1000, startMs + to * 1000, null);
        }

        double credits(double from, double to) {
            return served(tekuHall, startMs + from * 1000, startMs + to * 1000, "recharge-credit");
        }

        double baneshwor(double from, double to) {
            return served(baneshworHall, startMs + from * 1000, startMs + to * 1000, null);
        }

        /** From the loss of the store to the first of two quarters of a second in which as many are served as before. */
        double failoverMs() {
            double usual = teku(1, 5);
            for (double t = 5; t < 15; t += BIN_MS / 1000) {
                if (teku(t, t + 2 * BIN_MS / 1000) >= 0.97 * usual) {
                    return (t - 5) * 1000;
                }
            }
            return Double.NaN;
        }

        /** From the store's return to the first two quarters of a second in which nine of ten are served at home. */
        double failBackMs() {
            Map<String, Boolean> home = new HashMap<>();
            tekuHall.bed().ledger().nodes().stream().filter(e -> e.body() != null).forEach(e -> home.put(e.id(), true));
            for (double t = 15; t < 25; t += BIN_MS / 1000) {
                double from = startMs + t * 1000;
                List<ClientEntry> of = tekuHall.bed().ledger().clients().stream().filter(c -> c.sentAt() > from
                        && c.sentAt() < from + 2 * BIN_MS && isServed(c)).toList();
                if (!of.isEmpty() && of.stream().filter(c -> home.containsKey(c.id())).count() >= 0.9 * of.size()) {
                    return (t - 15) * 1000;
                }
            }
            return Double.NaN;
        }
    }

    private static boolean isServed(ClientEntry c) {
        return !c.replies().isEmpty() && c.replies().get(0).kind() == ClientEntry.Kind.SERVED;
    }

    /** The part of wishes that a try was served for, of those whose first try came within a time. */
    private static double served(Hall hall, double from, double to, String service) {
        Map<String, List<ClientEntry>> wishes = hall.bed().ledger().clients().stream().filter(c -> service == null
                || c.service().name().equals(service)).collect(Collectors.groupingBy(ClientEntry::first));
        int all = 0;
        int good = 0;
        for (List<ClientEntry> tries : wishes.values()) {
            double first = tries.stream().filter(c -> c.sentAt() > 0).mapToDouble(ClientEntry::sentAt).min().orElse(-1);
            if (first >= from && first < to) {
                all++;
                good += tries.stream().anyMatch(HallsMeasured::isServed) ? 1 : 0;
            }
        }
        return all == 0 ? Double.NaN : (double) good / all;
    }

    private static void await(double startMs, TwoHalls halls, double second) throws InterruptedException {
        double left = startMs + second * 1000 - halls.hall(0).bed().ledger().now();
        if (left > 0) {
            Thread.sleep((long) left);
        }
    }

    private static void linked(TwoHalls halls) throws InterruptedException {
        while (!halls.isLinked()) {
            Thread.sleep(20);
        }
    }

    private Outcome play(Plan plan, String name) throws Exception {
        LoadProfile profile = LoadProfile.USUAL.rate(PER_S, SECONDS);
        try (TwoHalls halls = new TwoHalls(plan, profile, Files.createDirectory(directory.resolve(name)))) {
            linked(halls);
            Hall teku = halls.hall(0);
            Hall baneshwor = halls.hall(1);
            List<CompletableFuture<Void>> loads = new ArrayList<>();
            halls.all().forEach(h -> loads.add(h.bed().load(profile, h.clientsAt()).start()));
            double start = teku.bed().ledger().now();
            await(start, halls, 5);
            teku.bed().fleet().caches().forEach(n -> n.flush());
            teku.storeGone(true);
            await(start, halls, 15);
            teku.storeGone(false);
            await(start, halls, 25);
            halls.links().forEach(l -> l.set(Conditions.CLEAR.loss(0.03).delay(20)));
            teku.storeGone(true);
            await(start, halls, 33);
            halls.links().forEach(l -> l.stall(2000));
            await(start, halls, 36);
            halls.links().forEach(l -> l.set(Conditions.CLEAR));
            halls.links().forEach(Link::reset);
            baneshwor.storeGone(true);
            await(start, halls, 39);
            teku.storeGone(false);
            baneshwor.storeGone(false);
            await(start, halls, 41);
            teku.storeGone(true);
            halls.between(teku, baneshwor).forEach(l -> l.set(Conditions.CLEAR, Conditions.CLEAR.cut(true)));
            await(start, halls, 45);
            halls.links().forEach(l -> l.set(Conditions.CLEAR));
            teku.storeGone(false);
            for (CompletableFuture<Void> l : loads) {
                l.get(60, TimeUnit.SECONDS);
            }
            List<Violation> broken = new Auditor(halls.seen(), Auditor.Limits.STRICT.withSlack(50
                    + halls.latenessMs())).audit();
            broken.stream().limit(5).forEach(v -> System.out.println("  " + name + ": " + v));
            return new Outcome(teku, baneshwor, start, halls.seen().clients().size(), broken.size(), halls.enteredTwice().size(),
                    doubled(halls), late(halls));
        }
    }

    private static long doubled(TwoHalls halls) {
        return halls.seen().nodes().stream().filter(NodeEntry::hasRecorded).collect(Collectors.groupingBy(e ->
                String.valueOf(e.idempotencyKey()), Collectors.counting())).values().stream().filter(n -> n > 1).count();
    }

    private static long late(TwoHalls halls) {
        return halls.seen().clients().stream().filter(c -> !c.replies().isEmpty() && c.leftAt() == 0
                && c.replies().get(0).at() - c.sentAt() - c.budgetMs() > 50).count();
    }

    private void fourTimes() throws Exception {
        LoadProfile own = LoadProfile.USUAL.rate(100, 16);
        try (TwoHalls halls = new TwoHalls(Plan.USUAL.seed(seed).settings("budget = \"5000/s\"\n"), own,
                Files.createDirectory(directory.resolve("four")))) {
            linked(halls);
            Hall teku = halls.hall(0);
            Hall baneshwor = halls.hall(1);
            CompletableFuture<Void> owns = baneshwor.bed().load(own, baneshwor.clientsAt()).start();
            double start = teku.bed().ledger().now();
            await(start, halls, 6);
            teku.bed().fleet().caches().forEach(n -> n.flush());
            teku.storeGone(true);
            CompletableFuture<Void> others = teku.bed().load(own.rate(400, 9), teku.clientsAt()).start();
            owns.get(60, TimeUnit.SECONDS);
            others.get(60, TimeUnit.SECONDS);
            double before = served(baneshwor, start, start + 6000, null);
            double during = served(baneshwor, start + 6000, start + 15_000, null);
            System.out.printf(Locale.ROOT, "four times the load: baneshwor's own served %.3f before and %.3f while teku sends 400/s (%.3f of it); "
                    + "teku's served %.3f%n", before, during, during / before, served(teku, start, start + 16_000, null));
        }
    }

    /** One request after another, at the hall that serves and at the one from which they cross. */
    private void crossing() throws Exception {
        LoadProfile profile = LoadProfile.USUAL.keys(1, 1);
        for (double delay : new double[] {0, 10}) {
            try (TwoHalls halls = new TwoHalls(Plan.USUAL.seed(seed).gateways(1).settings("budget = \"5000/s\"\n"), profile,
                    Files.createDirectory(directory.resolve("cross" + delay)))) {
                linked(halls);
                halls.links().forEach(l -> l.set(Conditions.CLEAR.delay(delay)));
                Hall teku = halls.hall(0);
                teku.bed().fleet().caches().forEach(n -> n.flush());
                teku.storeGone(true);
                sample(halls.hall(1));
                sample(teku);
                double[] there = sample(halls.hall(1));
                double[] across = sample(teku);
                System.out.printf(Locale.ROOT, "a crossing with %.0f ms of link each way: p50 %.2f ms and p99 %.2f ms; at the other hall itself "
                        + "%.2f and %.2f; added over the link's own %.2f and %.2f%n", delay, across[0], across[1], there[0], there[1],
                        across[0] - there[0] - 2 * delay, across[1] - there[1] - 2 * delay);
            }
        }
    }

    private static double[] sample(Hall hall) throws IOException {
        InetSocketAddress at = List.copyOf(hall.clientsAt().values()).get(0);
        double[] ms = new double[SAMPLES];
        int served = 0;
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.setTcpNoDelay(true);
            for (int i = 0; i < SAMPLES; i++) {
                long start = System.nanoTime();
                socket.getOutputStream().write(("GET /api/reading/m100000 HTTP/1.1\r\nHost: s\r\nX-Call-Id: s" + System.nanoTime()
                        + "\r\nX-Call-Class: latest-reading\r\nX-Caller: bagmati-bijuli\r\nX-Budget: 1.4\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                String answer = HttpText.read(socket.getInputStream());
                if (answer.startsWith("HTTP/1.1 200")) {
                    ms[served++] = (System.nanoTime() - start) / 1e6;
                }
            }
        }
        double[] sorted = Arrays.copyOf(ms, served);
        Arrays.sort(sorted);
        return new double[] {sorted[served / 2], sorted[(int) (served * 0.99)]};
    }

    /** The highest of some rates at which one gateway's crossings over one link are served, each gateway on its one loop. */
    private void rates() throws Exception {
        LoadClass read = LoadProfile.METERS.get(0);
        LoadProfile profile = LoadProfile.USUAL.classes(List.of(read)).retrying(0, 50);
        for (int rate : new int[] {500, 1000, 1500, 2000, 3000, 4000}) {
            try (TwoHalls halls = new TwoHalls(Plan.USUAL.seed(seed).gateways(1).settings("budget = \"50000/s\"\nin-flight = 20000\n"
                    + "take = 20000\n"), profile, Files.createDirectory(directory.resolve("rate" + rate)))) {
                linked(halls);
                Hall teku = halls.hall(0);
                teku.bed().fleet().caches().forEach(n -> n.flush());
                teku.storeGone(true);
                double start = teku.bed().ledger().now();
                CompletableFuture<Void> load = teku.bed().load(profile.rate(rate, 8), teku.clientsAt()).start();
                int most = 0;
                while (!load.isDone()) {
                    most = Math.max(most, teku.gateways().get(0).owed());
                    Thread.sleep(5);
                }
                System.out.printf(Locale.ROOT, "%d/s over one link: served %.3f in the last 4 s; most in flight %d%n", rate,
                        served(teku, start + 4000, start + 8000, null), most);
            }
        }
    }

    /** CPU of two gateways that have links and nothing to do, against two that have none. */
    private void idle() throws Exception {
        double[] used = new double[2];
        double[] memory = new double[2];
        for (int i = 0; i < 2; i++) {
            Plan plan = Plan.USUAL.seed(seed).gateways(1).inProcesses();
            try (TwoHalls halls = new TwoHalls(i == 0 ? plan.without() : plan, LoadProfile.USUAL,
                    Files.createDirectory(directory.resolve("idle" + i)))) {
                linked(halls);
                double before = cpuMs(halls);
                Thread.sleep(TimeUnit.SECONDS.toMillis(IDLE_S));
                used[i] = (cpuMs(halls) - before) / 2 / IDLE_S;
                memory[i] = halls.all().stream().mapToDouble(h -> h.gateways().get(0).memoryMb()).average().orElse(Double.NaN);
            }
        }
        System.out.printf(Locale.ROOT, "idle gateway: %.1f ms of CPU a second without links, %.1f with one each way; memory %.1f and %.1f MB%n",
                used[0], used[1], memory[0], memory[1]);
    }

    private static double cpuMs(TwoHalls halls) {
        return halls.all().stream().mapToDouble(h -> h.gateways().get(0).cpuMs()).sum();
    }
}

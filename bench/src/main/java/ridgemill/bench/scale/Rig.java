package ridgemill.bench.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** The deployment with its hollow edge proxies and its load, and how one point is measured on it. */
final class Rig implements AutoCloseable {

    private static final int OK = 200;
    private static final long START_PATIENCE_MS = 30_000;
    private static final long POLL_MS = 100;
    private static final long SETTLE_MS = 1_500;
    /** For how long operations may go on after the window, so that their times are whole. */
    private static final long TAIL_MS = 700;
    /** Newcomers are told again for so long, which is not what a point is to show. */
    private static final long NEWCOMER_MS = 5_000;

    private static final int ROUTES_AT_ONCE = 100;

    private final Deployment deployment;
    private final Meter meter = new Meter();
    private final HollowFleet fleet;
    private final ControlCaller caller;
    private final Load load;
    private final long windowMs;
    private int instances;
    private int routes;

    private Rig(Deployment deployment, long windowMs) {
        this.deployment = deployment;
        this.windowMs = windowMs;
        this.fleet = new HollowFleet(deployment, meter);
        this.caller = new ControlCaller(deployment);
        this.load = new Load(caller, fleet, meter);
    }

    /** Starts all real processes and waits until the edge proxy is ready. */
    static Rig start(Path directory, long windowMs, int firstInstances, int firstRoutes)
            throws IOException, InterruptedException {
        Rig rig = new Rig(Deployment.start(directory), windowMs);
        Runtime.getRuntime().addShutdownHook(new Thread(rig.deployment::close));
        rig.until("PATCH", "/ridgemill/configuration", Routes.base());
        rig.routes(firstRoutes);
        rig.instances(firstInstances);
        rig.deployment.startProxy();
        rig.untilReady();
        return rig;
    }

    private void until(String method, String path, String body) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_PATIENCE_MS);
        while (caller.call(method, path, body).join() != OK) {
            giveUpAfter(end, method + " " + path);
        }
    }

    private void untilReady() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_PATIENCE_MS);
        while (caller.callAt(deployment.readinessAddress(), "GET", "/ridgemill/readiness", "")
                        .join()
                != OK) {
            giveUpAfter(end, "readiness");
        }
    }

    private static void giveUpAfter(long endNanos, String what) throws InterruptedException {
        if (System.nanoTime() > endNanos) {
            throw new IllegalStateException("no success: " + what);
        }
        Thread.sleep(POLL_MS);
    }

    HollowFleet fleet() {
        return fleet;
    }

    /** How many calls failed and links ended so far. */
    String faults() {
        return "failed_calls=" + load.failures() + " ended_links=" + meter.endedLinks();
    }

    void instances(int count) throws InterruptedException {
        load.instances(count);
        instances = count;
        Thread.sleep(NEWCOMER_MS);
    }

    /** Adds routes until there are so many. */
    void routes(int count) throws InterruptedException {
        while (routes < count) {
            int added = Math.min(ROUTES_AT_ONCE, count - routes);
            until("PATCH", "/ridgemill/configuration", Routes.change(routes, added, 1));
            routes += added;
        }
    }

    /** Starts registries on further core machines until there are so many. */
    void registries(int count) throws IOException, InterruptedException {
        while (deployment.registryHosts().size() < count) {
            String host = "127.0.0." + (deployment.registryHosts().size() + 1);
            deployment.startRegistry(host);
            fleet.followRegistry(host);
        }
        Thread.sleep(NEWCOMER_MS);
    }

    /** Measures one point under a load. */
    ScalePoint measure(String series, double value, Rates rates) throws IOException, InterruptedException {
        play(rates);
        Thread.sleep(SETTLE_MS);
        load.resetTimes();
        Window window = new Window(deployment, meter);
        Thread.sleep(windowMs);
        Window.Result result = window.end(fleet.size());
        double keysPerS = load.keys().times().count() / result.seconds();
        double statesPerS = load.states().times().count() / result.seconds();
        load.rest();
        Thread.sleep(TAIL_MS);
        return point(series, value, result, keysPerS, statesPerS);
    }

    /** The same load without a measurement. */
    void warmUp(Rates rates, long milliseconds) throws InterruptedException {
        play(rates);
        Thread.sleep(milliseconds);
        load.rest();
    }

    /** The times of a few operations of all kinds beside the measured ones, as they burden the window. */
    ScalePoint withProbes(ScalePoint quiet, Rates rates, long milliseconds) throws InterruptedException {
        load.resetTimes();
        play(rates);
        Thread.sleep(milliseconds);
        load.rest();
        Thread.sleep(TAIL_MS);
        return new ScalePoint(
                quiet.series(),
                quiet.value(),
                quiet.windowS(),
                quiet.conditions(),
                quiet.registry(),
                quiet.store(),
                quiet.proxy(),
                quiet.hollow(),
                meter.changes().times(),
                meter.purges().times(),
                load.keys().times(),
                load.states().times(),
                quiet.benchCores());
    }

    private void play(Rates rates) {
        load.start(Load.Knob.CHANGES, rates.changes());
        load.start(Load.Knob.PURGES, rates.purges());
        load.start(Load.Knob.KEYS, rates.keys());
        load.start(Load.Knob.STATES, rates.states());
    }

    private ScalePoint point(String series, double value, Window.Result result, double keysPerS, double statesPerS) {
        Times changes = meter.changes().times();
        Times purges = meter.purges().times();
        Times keys = load.keys().times();
        Times states = load.states().times();
        Conditions conditions = new Conditions(
                fleet.size() + deployment.proxies().size(),
                instances,
                deployment.registryHosts().size(),
                routes,
                result.changesPerS(),
                result.purgesPerS(),
                keysPerS,
                statesPerS);
        return new ScalePoint(
                series,
                value,
                result.seconds(),
                conditions,
                result.registry(),
                result.store(),
                result.proxy(),
                result.hollow(),
                changes,
                purges,
                keys,
                states,
                result.benchCores());
    }

    @Override
    public void close() {
        load.close();
        caller.close();
        fleet.close();
        deployment.close();
    }
}

package ridgemill.bench.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One measured stretch of time: what each process and each hollow edge proxy used between its begin and its end. */
final class Window {

    private static final double MS_PER_S = 1_000;
    private static final double PERCENT = 100;

    private final Deployment deployment;
    private final Meter meter;
    private final long beganNanos = System.nanoTime();
    private final Meter.Reading beganReading;
    private final List<MeasuredProcess.Usage> registries;
    private final List<MeasuredProcess.Usage> stores;
    private final List<MeasuredProcess.Usage> proxies;
    private final double beganOwnMs = ownCpuMs();

    /** Begins now. */
    Window(Deployment deployment, Meter meter) throws IOException {
        this.deployment = deployment;
        this.meter = meter;
        this.beganReading = meter.read();
        this.registries = usages(deployment.registries());
        this.stores = usages(deployment.stores());
        this.proxies = usages(deployment.proxies());
    }

    /** What a window measured, but for the times. */
    record Result(
            double seconds,
            RoleCost registry,
            RoleCost store,
            RoleCost proxy,
            Traffic hollow,
            double changesPerS,
            double purgesPerS,
            double benchCores) {}

    /** Ends now. */
    Result end(int hollowProxies) throws IOException {
        Meter.Reading reading = meter.read();
        double followers = (double) hollowProxies * Deployment.SEEDS.size();
        double seconds = (System.nanoTime() - beganNanos) / (double) TimeUnit.SECONDS.toNanos(1);
        return new Result(
                seconds,
                cost(registries, usages(deployment.registries()), seconds),
                cost(stores, usages(deployment.stores()), seconds),
                cost(proxies, usages(deployment.proxies()), seconds),
                reading.since(beganReading, seconds, hollowProxies),
                (reading.changes() - beganReading.changes()) / followers / seconds,
                (reading.purges() - beganReading.purges()) / followers / seconds,
                (ownCpuMs() - beganOwnMs) / MS_PER_S / seconds);
    }

    private static List<MeasuredProcess.Usage> usages(List<MeasuredProcess> processes) throws IOException {
        List<MeasuredProcess.Usage> usages = new ArrayList<>();
        for (MeasuredProcess process : processes) {
            if (!process.isAlive()) {
                throw new IOException("a measured process has ended");
            }
            usages.add(process.usage());
        }
        return usages;
    }

    /** The mean of all processes of a role. */
    private static RoleCost cost(List<MeasuredProcess.Usage> from, List<MeasuredProcess.Usage> to, double seconds) {
        double cpuMs = 0;
        double rssMb = 0;
        double read = 0;
        double written = 0;
        double disk = 0;
        for (int i = 0; i < from.size(); i++) {
            cpuMs += to.get(i).cpuMs() - from.get(i).cpuMs();
            rssMb += to.get(i).rssMb();
            read += to.get(i).readBytes() - from.get(i).readBytes();
            written += to.get(i).writtenBytes() - from.get(i).writtenBytes();
            disk += to.get(i).diskBytes() - from.get(i).diskBytes();
        }
        int count = from.size();
        double share = seconds * count;
        return new RoleCost(
                cpuMs / MS_PER_S / share * PERCENT, rssMb / count, read / share, written / share, disk / share);
    }

    private static double ownCpuMs() {
        return ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(duration -> duration.toNanos() / (double) TimeUnit.MILLISECONDS.toNanos(1))
                .orElse(Double.NaN);
    }
}

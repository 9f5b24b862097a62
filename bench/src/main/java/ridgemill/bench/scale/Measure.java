package ridgemill.bench.scale;

import java.util.function.ToDoubleFunction;

/** What is fitted of each point, with its unit. */
public enum Measure {
    REGISTRY_CPU("registry, processor", "% of a core", point -> point.registry().cpuPercent()),
    REGISTRY_RSS("registry, memory", "MB", point -> point.registry().rssMb()),
    STORE_CPU("store, processor", "% of a core", point -> point.store().cpuPercent()),
    STORE_RSS("store, memory", "MB", point -> point.store().rssMb()),
    STORE_DISK("store, to disk", "B/s", point -> point.store().diskBytesPerS()),
    PROXY_CPU("edge proxy, processor", "% of a core", point -> point.proxy().cpuPercent()),
    PROXY_RSS("edge proxy, memory", "MB", point -> point.proxy().rssMb()),
    PROXY_IN("edge proxy, in", "B/s", point -> point.hollow().inBytesPerS()),
    PROXY_OUT("edge proxy, out", "B/s", point -> point.hollow().outBytesPerS()),
    PROXY_FRAMES(
            "edge proxy, messages in and out",
            "1/s",
            point -> point.hollow().inFramesPerS() + point.hollow().outFramesPerS());

    private final String label;
    private final String unit;
    private final ToDoubleFunction<ScalePoint> value;

    Measure(String label, String unit, ToDoubleFunction<ScalePoint> value) {
        this.label = label;
        this.unit = unit;
        this.value = value;
    }

    /** What is measured, in words. */
    public String label() {
        return label;
    }

    /** The unit. */
    public String unit() {
        return unit;
    }

    /** The measure of a point. */
    public double of(ScalePoint point) {
        return value.applyAsDouble(point);
    }
}

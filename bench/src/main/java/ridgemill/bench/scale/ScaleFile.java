package ridgemill.bench.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.StringJoiner;

/** Measured points as a file of comma-separated values. */
public final class ScaleFile {

    private static final String HEADER = "series,value,window_s,proxies,instances,registries,items,changes_per_s,"
            + "purges_per_s,keys_per_s,states_per_s," + role("registry") + role("store") + role("proxy")
            + "hollow_in_bytes_s,hollow_out_bytes_s,hollow_in_frames_s,hollow_out_frames_s,"
            + times("change") + times("purge") + times("key") + times("state") + "bench_cores";

    private static final double THOUSANDTHS = 1_000;

    private ScaleFile() {}

    private static String role(String name) {
        return name + "_cpu_percent," + name + "_rss_mb," + name + "_read_call_bytes_s," + name + "_write_call_bytes_s,"
                + name + "_disk_bytes_s,";
    }

    private static String times(String name) {
        return name + "_count," + name + "_unfinished," + name + "_p50_ms," + name + "_p99_ms," + name + "_max_ms,";
    }

    /** Writes points in their order. */
    public static void write(Path path, List<ScalePoint> points) throws IOException {
        List<String> lines = new ArrayList<>(List.of(HEADER));
        points.forEach(point -> lines.add(line(point)));
        Files.createDirectories(path.toAbsolutePath().getParent());
        Files.write(path, lines);
    }

    private static String line(ScalePoint point) {
        StringJoiner cells = new StringJoiner(",");
        cells.add(point.series());
        Conditions at = point.conditions();
        add(
                cells,
                point.value(),
                point.windowS(),
                at.proxies(),
                at.instances(),
                at.registries(),
                at.items(),
                at.changesPerS(),
                at.purgesPerS(),
                at.keysPerS(),
                at.statesPerS());
        for (RoleCost cost : List.of(point.registry(), point.store(), point.proxy())) {
            add(
                    cells,
                    cost.cpuPercent(),
                    cost.rssMb(),
                    cost.readCallBytesPerS(),
                    cost.writeCallBytesPerS(),
                    cost.diskBytesPerS());
        }
        Traffic traffic = point.hollow();
        add(cells, traffic.inBytesPerS(), traffic.outBytesPerS(), traffic.inFramesPerS(), traffic.outFramesPerS());
        for (Times times : List.of(point.change(), point.purge(), point.key(), point.state())) {
            add(cells, times.count(), times.unfinished(), times.p50Ms(), times.p99Ms(), times.maxMs());
        }
        add(cells, point.benchCores());
        return cells.toString();
    }

    private static void add(StringJoiner cells, double... values) {
        for (double exact : values) {
            double value = Math.rint(exact * THOUSANDTHS) / THOUSANDTHS;
            boolean whole = value == Math.rint(value);
            cells.add(Double.isNaN(value) ? "" : String.format(Locale.ROOT, whole ? "%.0f" : "%.3f", value));
        }
    }

    /** Reads what {@link #write} wrote. */
    public static List<ScalePoint> read(Path path) throws IOException {
        List<String> lines = Files.readAllLines(path);
        if (!lines.get(0).equals(HEADER)) {
            throw new IOException(path + " has other columns than this build writes");
        }
        return lines.stream().skip(1).map(ScaleFile::point).toList();
    }

    private static ScalePoint point(String line) {
        Iterator<String> cells = List.of(line.split(",", -1)).iterator();
        return new ScalePoint(
                cells.next(),
                number(cells),
                number(cells),
                new Conditions(
                        whole(cells),
                        whole(cells),
                        whole(cells),
                        whole(cells),
                        number(cells),
                        number(cells),
                        number(cells),
                        number(cells)),
                cost(cells),
                cost(cells),
                cost(cells),
                new Traffic(number(cells), number(cells), number(cells), number(cells)),
                times(cells),
                times(cells),
                times(cells),
                times(cells),
                number(cells));
    }

    private static RoleCost cost(Iterator<String> cells) {
        return new RoleCost(number(cells), number(cells), number(cells), number(cells), number(cells));
    }

    private static Times times(Iterator<String> cells) {
        return new Times(whole(cells), whole(cells), number(cells), number(cells), number(cells));
    }

    private static int whole(Iterator<String> cells) {
        return (int) number(cells);
    }

    private static double number(Iterator<String> cells) {
        String cell = cells.next();
        return cell.isEmpty() ? Double.NaN : Double.parseDouble(cell);
    }
}

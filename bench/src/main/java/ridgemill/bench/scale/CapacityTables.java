package ridgemill.bench.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The tables of the capacity page, as text: each figure comes from the stored points. */
final class CapacityTables {

    private static final String NOT_MEASURED = "not measured";
    /** Headers of a segment over IPv4 with time stamps; each message is taken to go in a segment of its own. */
    private static final double HEADER_BYTES = 52;
    /** The share of a limit above which a result is called at its limit, as it is within the noise of it. */
    private static final double NEAR = 0.9;

    private final Model model;
    private final StringBuilder text = new StringBuilder();

    private CapacityTables(Model model) {
        this.model = model;
    }

    /** All tables, in the order of the page. */
    static String render(List<ScalePoint> points) {
        return new CapacityTables(new Model(points)).all();
    }

    private String all() {
        budgets();
        role(
                "One edge proxy at the target size",
                model.proxyParts(),
                List.of(Measure.PROXY_CPU, Measure.PROXY_IN, Measure.PROXY_OUT, Measure.PROXY_FRAMES));
        role("One registry at the target size", model.registryParts(), List.of(Measure.REGISTRY_CPU));
        role("One configuration store at the target size", model.storeParts(), List.of(Measure.STORE_CPU));
        servers();
        memory();
        keys();
        played();
        fits();
        return text.toString();
    }

    private void heading(String title, String... columns) {
        text.append("\n### ").append(title).append("\n\n");
        row(columns);
        row(List.of(columns).stream().map(column -> "---").toArray(String[]::new));
    }

    private void row(String... cells) {
        text.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }

    private void budgets() {
        List<Model.Part> proxy = model.proxyParts();
        double cpu = Model.sum(proxy, Measure.PROXY_CPU);
        double bytes = Model.sum(proxy, Measure.PROXY_IN) + Model.sum(proxy, Measure.PROXY_OUT);
        double onWire = bytes + HEADER_BYTES * Model.sum(proxy, Measure.PROXY_FRAMES);
        ScalePoint purges = model.highest(Model.PURGES_AT_MOST);
        ScalePoint changes = model.highest(Model.CHANGES_AT_MOST);
        heading("Budgets against results", "budget", "limit", "result", "how", "verdict");
        budget("edge proxy: processor for control, % of a core", Target.PROXY_CPU_PERCENT, cpu, "worked out");
        budget(
                "edge proxy: memory of the whole process without requests, MB",
                Target.PROXY_MB,
                model.most(Measure.PROXY_RSS),
                "most of any point, played to 1,300 edge proxies");
        budget("edge proxy: control bytes/s, contents of messages", Target.PROXY_BYTES_PER_S, bytes, "worked out");
        budget(
                "edge proxy: control bytes/s with 52 bytes of headers a message",
                Target.PROXY_BYTES_PER_S,
                onWire,
                "worked out; headers not measured");
        budget(
                "purge done everywhere, longest, ms, at " + number(purges.value()) + " purges/s and 1,300",
                Target.PURGE_LIMIT_MS,
                purges.purge().maxMs(),
                "played, loopback");
        budget(
                "change in force everywhere, longest, ms, at " + number(changes.value()) + " changes/s and 1,300",
                Target.CHANGE_LIMIT_MS,
                changes.change().maxMs(),
                "played, loopback");
        budget(
                "store: processor without keys, % of its one core",
                100, Model.sum(model.storeParts(), Measure.STORE_CPU), "worked out");
        budget("the same by the slope that was played before 1,300, of two points", 100, storeByPlayed(), "worked out");
        budget(
                "registry: processor, % of its one core",
                100, Model.sum(model.registryParts(), Measure.REGISTRY_CPU), "worked out");
    }

    private void budget(String name, double limit, double result, String how) {
        String verdict = result > limit ? "**BREAKS**" : result > NEAR * limit ? "**at its limit**" : "holds";
        row(name, number(limit), number(result), how, verdict);
    }

    private double storeByPlayed() {
        return model.line(Model.PROXIES, Measure.STORE_CPU).at(Target.PROXIES)
                + model.line(Model.PURGES_AT_MOST, Measure.STORE_CPU).slope() * Target.PURGES_PER_S;
    }

    private void servers() {
        heading(
                "Between one server and its 1,300 edge proxies",
                "server",
                "kind",
                "from",
                "out, B/s",
                "in, B/s",
                "messages in and out, 1/s");
        server("registry", "pings of links at rest", "slope of registries-at-100 x 1,300", Target.PROXIES, null);
        server(
                "registry",
                "208 comings and leavings a day",
                "slope of states-at-200 / 3 x 0.00241 x 1,300",
                Target.STATES_PER_S * Target.PROXIES,
                Model.STATES_AT_200);
        server("store", "pings of links at rest", "slope of registries-at-100 x 1,300", Target.PROXIES, null);
        server(
                "store",
                "27 purges/s",
                "slope of purges-at-200 / 3 x 27 x 1,300",
                Target.PURGES_PER_S * Target.PROXIES,
                Model.PURGES_AT_200);
        server(
                "store",
                "7,000 changes a day",
                "slope of changes-at-200 / 3 x 0.0810 x 1,300",
                Target.CHANGES_PER_S * Target.PROXIES,
                Model.CHANGES_AT_200);
        row("registry", "to the other registries and the stores", "", NOT_MEASURED, NOT_MEASURED, NOT_MEASURED);
        row("store", "to the other stores and the registries", "", NOT_MEASURED, NOT_MEASURED, NOT_MEASURED);
    }

    private void server(String name, String kind, String from, double units, String series) {
        List<String> cells = new ArrayList<>(List.of(name, kind, from));
        for (Measure measure : List.of(Measure.PROXY_IN, Measure.PROXY_OUT, Measure.PROXY_FRAMES)) {
            double ofUnit = series == null ? model.ofLink(measure) : model.ofOperation(series, measure);
            cells.add(number(ofUnit * units));
        }
        row(cells.toArray(String[]::new));
    }

    private void memory() {
        heading(
                "Memory",
                "process",
                "resident at 1,300 edge proxies, MB",
                "by 300 more instances, MB",
                "by 900 more routes, MB",
                "by operation keys");
        for (Measure measure : List.of(Measure.PROXY_RSS, Measure.REGISTRY_RSS, Measure.STORE_RSS)) {
            row(
                    measure.label(),
                    number(model.line(Model.PROXIES, measure).at(Target.PROXIES)),
                    number(model.line(Model.INSTANCES_AT_100, measure).slope() * 300),
                    number(model.line(Model.ROUTES_AT_100, measure).slope() * 900),
                    NOT_MEASURED);
        }
    }

    private void role(String title, List<Model.Part> parts, List<Measure> measures) {
        List<String> columns = new ArrayList<>(List.of("what it bears", "from"));
        measures.forEach(measure -> columns.add(measure.label() + ", " + measure.unit()));
        heading(title, columns.toArray(String[]::new));
        for (Model.Part part : parts) {
            List<String> cells = new ArrayList<>(List.of(part.name(), part.from()));
            measures.forEach(measure -> cells.add(number(part.of(measure))));
            row(cells.toArray(String[]::new));
        }
        List<String> sums = new ArrayList<>(List.of("**all**", ""));
        measures.forEach(measure -> sums.add("**" + number(Model.sum(parts, measure)) + "**"));
        row(sums.toArray(String[]::new));
    }

    private void keys() {
        double ofOne = model.line(Model.KEYS_AT_200, Measure.STORE_CPU).slope();
        double rest = 100 - Model.sum(model.storeParts(), Measure.STORE_CPU);
        ScalePoint most = model.highest(Model.KEYS_AT_200);
        heading("Operation keys and the disk", "figure", "value", "how");
        row("processor of each of three voters for one key a second, % of a core", number(ofOne), "slope");
        row(
                "bytes to disk for one key, each voter",
                number(model.line(Model.KEYS_AT_200, Measure.STORE_DISK).slope()),
                "slope");
        row(
                "bytes to disk for one configuration change, each voter",
                number(model.line(Model.CHANGES_AT_200, Measure.STORE_DISK).slope()),
                "slope");
        row(
                "claim to grant at " + number(most.value()) + " keys/s: p50, p99, longest, ms",
                times(most.key()),
                "played");
        row(
                "keys/s that a voter's core leaves room for beside the rest at the target size",
                rest > 0 ? number(rest / ofOne) : "none",
                "worked out");
        row("syncs a second", NOT_MEASURED, "");
    }

    private void played() {
        heading(
                "Times that were played",
                "series",
                "knob",
                "edge proxies",
                "purge p50, p99, longest, ms",
                "change p50, p99, longest, ms",
                "coming of an instance p50, p99, longest, ms",
                "unfinished");
        for (String series : List.of(
                Model.PROXIES,
                Model.PURGES_AT_50,
                Model.PURGES_AT_200,
                Model.PURGES_AT_MOST,
                Model.CHANGES_AT_200,
                Model.CHANGES_AT_MOST,
                Model.STATES_AT_200)) {
            model.series(series).stream()
                    .filter(point -> series.equals(Model.PROXIES) || point.value() > 0)
                    .forEach(point -> row(
                            series,
                            number(point.value()),
                            number(point.conditions().proxies()),
                            times(point.purge()),
                            times(point.change()),
                            times(point.state()),
                            String.valueOf(unfinished(point))));
        }
    }

    private static int unfinished(ScalePoint point) {
        return point.purge().unfinished()
                + point.change().unfinished()
                + point.state().unfinished();
    }

    private static String times(Times times) {
        return times.count() == 0
                ? "-"
                : number(times.p50Ms()) + ", " + number(times.p99Ms()) + ", " + number(times.maxMs());
    }

    private void fits() {
        heading("Lines through the points", "series", "measure", "unit", "slope", "intercept", "residual", "points");
        for (Fitted fitted : Fitted.ALL) {
            for (Measure measure : fitted.measures()) {
                Line line = model.line(fitted.series(), measure);
                row(
                        fitted.series(),
                        measure.label(),
                        measure.unit(),
                        number(line.slope()),
                        number(line.intercept()),
                        number(line.residual()),
                        String.valueOf(line.points()));
            }
        }
    }

    /** The lines of one series that the page shows. */
    private record Fitted(String series, List<Measure> measures) {

        private static final List<Measure> PROXY =
                List.of(Measure.PROXY_CPU, Measure.PROXY_IN, Measure.PROXY_OUT, Measure.PROXY_FRAMES);
        private static final List<Measure> STORE = List.of(Measure.STORE_CPU, Measure.STORE_DISK);
        private static final List<Measure> REGISTRY = List.of(Measure.REGISTRY_CPU);
        private static final List<Measure> MEMORY = List.of(Measure.REGISTRY_RSS, Measure.STORE_RSS, Measure.PROXY_RSS);
        private static final List<Fitted> ALL = List.of(
                new Fitted(Model.PROXIES, join(STORE, REGISTRY, PROXY, MEMORY)),
                new Fitted(Model.PURGES_AT_50, STORE),
                new Fitted(Model.PURGES_AT_200, join(STORE, REGISTRY, PROXY)),
                new Fitted(Model.CHANGES_AT_200, join(STORE, REGISTRY, PROXY)),
                new Fitted(Model.KEYS_AT_200, STORE),
                new Fitted(Model.STATES_AT_200, join(REGISTRY, PROXY)),
                new Fitted(Model.INSTANCES_AT_100, join(REGISTRY, PROXY, MEMORY)),
                new Fitted(Model.ROUTES_AT_100, join(STORE, REGISTRY, PROXY, MEMORY)),
                new Fitted(Model.REGISTRIES_AT_100, join(REGISTRY, PROXY)));

        @SafeVarargs
        private static List<Measure> join(List<Measure>... lists) {
            List<Measure> all = new ArrayList<>();
            for (List<Measure> list : lists) {
                all.addAll(list);
            }
            return all;
        }
    }

    /** A figure with three digits. */
    static String number(double value) {
        if (Double.isNaN(value)) {
            return NOT_MEASURED;
        }
        double size = Math.abs(value);
        if (size >= 1_000 || value == Math.rint(value)) {
            return String.format(Locale.ROOT, "%,.0f", value);
        }
        String format = size >= 100 ? "%.0f" : size >= 10 ? "%.1f" : size >= 1 ? "%.2f" : "%.3g";
        return String.format(Locale.ROOT, format, value);
    }
}

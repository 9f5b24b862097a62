package ridgemill.testbed.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import ridgemill.testbed.ledger.ClientEntry;
import ridgemill.testbed.ledger.ClientEntry.Kind;
import ridgemill.testbed.ledger.Ledger;

/** What clients got, by class: each wish counts once, by the best of its tries. */
public final class Summary {

    /** The wishes of one class; {@code leaving} are those whose client went away. */
    public record Row(
            String name,
            int asked,
            int inTime,
            int late,
            int refused,
            int failed,
            int unanswered,
            int leaving,
            double p50Ms,
            double p99Ms) {

        /** The part of those asked, whose clients stayed, that was served in the wanted time; 1 if there were none. */
        public double servedShare() {
            int stayed = asked - leaving;
            return stayed == 0 ? 1 : (double) inTime / stayed;
        }
    }

    private final Map<String, Row> rows = new TreeMap<>();

    public Summary(Ledger ledger) {
        Map<String, Map<String, List<ClientEntry>>> wishes = new TreeMap<>();
        ledger.clients().forEach(c -> {
            wishes.computeIfAbsent(c.service().name(), n -> new LinkedHashMap<>())
                    .computeIfAbsent(c.first(), f -> new ArrayList<>())
                    .add(c);
            wishes.computeIfAbsent("all", n -> new LinkedHashMap<>())
                    .computeIfAbsent(c.first(), f -> new ArrayList<>())
                    .add(c);
        });
        wishes.forEach((name, of) -> rows.put(name, row(name, of)));
    }

    /** The rows by class, and one for all of them under the name {@code all}. */
    public Map<String, Row> rows() {
        return rows;
    }

    private static Row row(String name, Map<String, List<ClientEntry>> wishes) {
        int inTime = 0;
        int late = 0;
        int refused = 0;
        int failed = 0;
        int unanswered = 0;
        int leaving = 0;
        List<Double> times = new ArrayList<>();
        for (List<ClientEntry> tries : wishes.values()) {
            double start = tries.stream()
                    .filter(t -> t.sentAt() > 0)
                    .mapToDouble(ClientEntry::sentAt)
                    .min()
                    .orElse(0);
            double served = tries.stream()
                    .flatMap(t -> t.replies().stream())
                    .filter(r -> r.kind() == Kind.SERVED)
                    .mapToDouble(ClientEntry.Reply::at)
                    .min()
                    .orElse(Double.NaN);
            ClientEntry last = tries.stream()
                    .max(Comparator.comparingDouble(ClientEntry::sentAt))
                    .orElseThrow();
            if (!Double.isNaN(served)) {
                times.add(served - start);
                if (served - start <= last.service().aimMs()) {
                    inTime++;
                } else {
                    late++;
                }
            } else if (tries.stream().anyMatch(t -> t.leftAt() > 0)) {
                leaving++;
            } else if (last.replies().isEmpty()) {
                unanswered++;
            } else if (last.replies().get(0).kind() == Kind.REFUSED) {
                refused++;
            } else {
                failed++;
            }
        }
        times.sort(null);
        return new Row(
                name,
                wishes.size(),
                inTime,
                late,
                refused,
                failed,
                unanswered,
                leaving,
                at(times, 0.5),
                at(times, 0.99));
    }

    private static double at(List<Double> sorted, double part) {
        return sorted.isEmpty() ? 0 : sorted.get((int) Math.min(sorted.size() - 1, Math.floor(sorted.size() * part)));
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(String.format(
                "%-18s %7s %8s %6s %8s %7s %11s %5s %8s %8s%n",
                "class", "asked", "in time", "late", "refused", "failed", "unanswered", "left", "p50 ms", "p99 ms"));
        rows.values()
                .forEach(r -> text.append(String.format(
                        Locale.ROOT,
                        "%-18s %7d %8d %6d %8d %7d %11d %5d %8.1f %8.1f%n",
                        r.name(),
                        r.asked(),
                        r.inTime(),
                        r.late(),
                        r.refused(),
                        r.failed(),
                        r.unanswered(),
                        r.leaving(),
                        r.p50Ms(),
                        r.p99Ms())));
        return text.toString();
    }
}

package ridgemill.testbed.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ridgemill.testbed.ledger.ClientEntry;
import ridgemill.testbed.ledger.Ledger;
import ridgemill.testbed.ledger.NodeEntry;

/**
 * Holds a fleet whose versions change against nodes' and clients' ledgers: one number is one text, no process goes back to a lower one, at
 * most two texts are begun at once, and once a version was told complete nothing begins under another that is older. Knows nothing
 * of the program: nodes note {@code proxy#process/number.digest} with each attempt, and a request begins when its client has sent it.
 */
public final class RollJudge {

    /**
     * A roll was told complete.
     *
     * @param atMs when that was read, by the testbed's clock
     * @param number that all act under
     */
    public record Complete(double atMs, int number) {}

    /** A request under a version. */
    private record Begun(String process, double at, int number, String text, String id) {}

    private final Ledger ledger;
    private final Map<Integer, Integer> says;
    private final double slackMs;
    private final double startedMs;

    /**
     * @param says what a number's text says, where two numbers may say the same: a way back says what the base says
     * @param slackMs for how long a request may be under way from its client to its proxy
     * @param startedMs how long a process that has started since a version was complete has to hear of it: it may have an old file
     */
    public RollJudge(Ledger ledger, Map<Integer, Integer> says, double slackMs, double startedMs) {
        this.startedMs = startedMs;
        this.ledger = ledger;
        this.says = Map.copyOf(says);
        this.slackMs = slackMs;
    }

    /** What is wrong, in words. */
    public List<String> judge(List<Complete> completes) {
        List<String> faults = new ArrayList<>();
        List<Begun> all = begun(faults);
        Map<Integer, String> texts = new TreeMap<>();
        Map<String, Begun> last = new HashMap<>();
        Map<String, Double> started = new HashMap<>();
        for (Begun b : all) {
            String before = texts.putIfAbsent(b.number(), b.text());
            if (before != null && !before.equals(b.text())) {
                faults.add("number " + b.number() + " stands for " + before + " and for " + b.text());
            }
            double since = started.computeIfAbsent(b.process(), p -> b.at());
            Begun earlier = last.put(b.process(), b);
            if (earlier != null && b.number() < earlier.number() && b.at() > earlier.at() + slackMs) {
                faults.add(b.process() + " goes from " + earlier.number() + " to " + b.number() + " with " + b.id());
            }
            for (Complete c : completes) {
                boolean excused = since > c.atMs() && b.at() < since + startedMs;
                if (b.at() > c.atMs() + slackMs && b.number() < c.number() && !excused) {
                    faults.add("%s begins under %d at %.0f, and %d was complete at %.0f"
                            .formatted(b.id(), b.number(), b.at(), c.number(), c.atMs()));
                }
            }
        }
        threeAtOnce(all, faults);
        return faults;
    }

    /** All requests of which a node saw an attempt, as their clients sent them. */
    private List<Begun> begun(List<String> faults) {
        Map<String, ClientEntry> clients = new HashMap<>();
        ledger.clients().forEach(c -> clients.put(c.id(), c));
        Map<String, Begun> first = new HashMap<>();
        for (NodeEntry e : ledger.nodes()) {
            ClientEntry client = clients.get(e.id());
            if (e.begunAt() <= 0 || client == null || client.sentAt() <= 0) {
                continue;
            }
            String label = String.valueOf(e.under());
            int slash = label.indexOf('/');
            int dot = label.lastIndexOf('.');
            if (slash < 0 || dot < slash) {
                faults.add(e.id() + " says nothing of its version: " + label);
                continue;
            }
            // One that was taken up again, on another connection, may have begun as late as its attempt.
            double at = client.resentAt() > 0 ? e.begunAt() : client.sentAt();
            first.putIfAbsent(
                    e.id(),
                    new Begun(
                            label.substring(0, slash),
                            at,
                            Integer.parseInt(label.substring(slash + 1, dot)),
                            label.substring(dot + 1),
                            e.id()));
        }
        return first.values().stream()
                .sorted((a, b) -> Double.compare(a.at(), b.at()))
                .toList();
    }

    /** A text begins when its first request does, and is over with its last: three that overlap act at once. */
    private void threeAtOnce(List<Begun> all, List<String> faults) {
        Map<Integer, double[]> spans = new TreeMap<>();
        for (Begun b : all) {
            double[] span = spans.computeIfAbsent(
                    says.getOrDefault(b.number(), b.number()), t -> new double[] {b.at(), b.at()});
            span[1] = b.at();
        }
        List<double[]> open = new ArrayList<>();
        for (double[] span : spans.values().stream()
                .sorted((a, b) -> Double.compare(a[0], b[0]))
                .toList()) {
            open.removeIf(o -> o[1] < span[0]);
            open.add(span);
            if (open.size() > 2) {
                faults.add("three texts act at once at %.0f".formatted(span[0]));
            }
        }
    }
}

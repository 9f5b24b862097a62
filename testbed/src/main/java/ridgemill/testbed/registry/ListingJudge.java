package ridgemill.testbed.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ridgemill.testbed.acts.History;

/**
 * Says from what a registry had and from what proxies said that they go by, whether each went by something that the registry had
 * at one time, and had a short while ago; and that none went back. It knows nothing of how proxies tell each other. One that was
 * stopped, or has just started, is given as long to catch up.
 */
public final class ListingJudge {

    /** What a proxy said that it goes by, statuses by instance; it said so between two times. */
    public record Seen(String proxy, double askedAt, double answeredAt, Map<String, String> all) {

        public Seen {
            all = Map.copyOf(all);
        }
    }

    /** What the registry had from a time on, at the latest from {@code until} on. */
    private record State(double from, double until, Map<String, String> all) {}

    /**
     * What was found.
     *
     * @param seen how often a proxy said what it goes by, and was not excused
     * @param mostMs the oldest that any went by, in milliseconds
     * @param faults empty if all went by what there was
     */
    public record Verdict(int seen, double mostMs, List<String> faults) {}

    private final List<State> states = new ArrayList<>();

    /** The registry has changed to this between two times. */
    public synchronized void has(double from, double until, Map<String, String> all) {
        states.add(new State(from, until, new TreeMap<>(all)));
    }

    /** Judges all that was seen, in the order in which it was. */
    public synchronized Verdict judge(List<Seen> seen, History history, double boundMs) {
        List<String> faults = new ArrayList<>();
        Map<String, Integer> last = new HashMap<>();
        int judged = 0;
        double most = 0;
        for (Seen s : seen) {
            int at = states.size() - 1;
            while (at >= 0
                    && (states.get(at).from() > s.answeredAt()
                            || !states.get(at).all().equals(s.all()))) {
                at--;
            }
            if (at < 0) {
                faults.add("%s at %.0f goes by what the registry never had: %s"
                        .formatted(s.proxy(), s.answeredAt(), new TreeMap<>(s.all())));
                continue;
            }
            double from = s.askedAt() - boundMs;
            boolean excused = history.met(s.proxy(), History.What.WENT_ON, from, s.answeredAt())
                    || history.met(s.proxy(), History.What.STARTED, from, s.answeredAt());
            if (history.met(s.proxy(), History.What.STARTED, from, s.answeredAt())) {
                last.remove(s.proxy());
            }
            double old = at == states.size() - 1
                    ? 0
                    : Math.max(0, s.askedAt() - states.get(at + 1).until());
            if (!excused) {
                judged++;
                most = Math.max(most, old);
                if (old > boundMs) {
                    faults.add("%s at %.0f goes by what the registry had %.0f ms ago"
                            .formatted(s.proxy(), s.answeredAt(), old));
                }
            }
            if (at < last.getOrDefault(s.proxy(), 0)) {
                faults.add("%s at %.0f goes back to what the registry had before".formatted(s.proxy(), s.answeredAt()));
            }
            last.put(s.proxy(), at);
        }
        return new Verdict(judged, most, faults);
    }
}

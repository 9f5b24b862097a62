package ridgemill.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import ridgemill.membership.Member.State;

/**
 * Merges what several sources say into one list of members, and can say of each who is in, why, since when and told by
 * whom.
 *
 * <ul>
 * <li>A node is in if any source names it as up and none that names it says otherwise: the most cautious word counts, as a
 *     drain that one source knows of is a drain.
 * <li>What a source no longer names is gone at once, unless too many go together (the <em>floor</em>): then those are kept
 *     until they come back, or the same news has held for long. A source that can't be read changes nothing.
 * <li>Another address or a later start under the same id is another <em>incarnation</em>. One that comes later than the
 *     first list has just started, unless its source tells otherwise: it is better taken for cold than pushed over.
 * <li>Of two ids at one address the one whose record is newer has it.
 * <li>One that comes and goes too often must stay up for a while before it is taken back; it is let go at once.
 * </ul>
 *
 * <p>Not safe for use by several threads.
 */
public final class Membership {

    private static final int MAX_DOUBLINGS = 3;

    /** What a source last said, and how it has been heard of. */
    private static final class Source {
        final String name;
        final Map<String, Instance> instances = new LinkedHashMap<>();
        /** Those that it names no more and that are kept, by when it first did not. */
        final Map<String, Double> missing = new HashMap<>();
        /** Older records than what is held, by when each was first told. */
        final Map<String, Double> olderRecords = new HashMap<>();
        /** How many it named as up, at times within the window; the greatest comes first. */
        final Deque<double[]> upCounts = new ArrayDeque<>();
        double lastContactMs = Double.NaN;
        double firstContactMs = Double.NaN;
        String lastFailure;
        /** Whether it is believed whatever it takes away: an operator's own list. */
        boolean trusted;

        Source(String name) {
            this.name = name;
        }
    }

    /** How often an id has come and gone. */
    private static final class Flapping {
        final Deque<Double> downTimes = new ArrayDeque<>();
        int holds;
        double holdUntilMs;
        boolean up;
    }

    private final MembershipPolicy policy;
    private final Map<String, Source> sources = new LinkedHashMap<>();
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, Flapping> flapping = new HashMap<>();

    public Membership(MembershipPolicy policy) {
        this.policy = policy;
    }

    /** A source is believed whatever it takes away, as an operator's own list is. */
    public void trustSource(String source) {
        source(source).trusted = true;
    }

    /** A source has told all that it knows. Returns what changed, those that went as {@link State#OUT}. */
    public List<Member> applySnapshot(double nowMs, String source, Collection<Instance> all) {
        Source s = recordContact(nowMs, source);
        Map<String, Instance> named = new LinkedHashMap<>();
        for (Instance i : all) {
            // Of two records with one id the newer counts, whatever their order.
            named.merge(i.id(), i, (a, b) -> b.changedAtMs() >= a.changedAtMs() ? b : a);
        }
        named.values().forEach(i -> storeRecord(nowMs, s, i));
        List<String> gone = s.instances.keySet().stream().filter(id -> !named.containsKey(id)).toList();
        named.keySet().forEach(s.missing::remove);
        removeMissing(nowMs, s, gone);
        return recompute(nowMs);
    }

    /** A source has told what changed: records that are new or other, and ids that are gone. */
    public List<Member> applyChanges(double nowMs, String source, Collection<Instance> some, Collection<String> gone) {
        Source s = recordContact(nowMs, source);
        for (Instance i : some) {
            storeRecord(nowMs, s, i);
            s.missing.remove(i.id());
        }
        removeMissing(nowMs, s, gone.stream().filter(s.instances::containsKey).toList());
        return recompute(nowMs);
    }

    /** A source can't be read: what it said goes on holding. */
    public void sourceFailed(double nowMs, String source, String why) {
        source(source).lastFailure = why;
    }

    /** A source is asked no more: what it said holds no longer. */
    public List<Member> removeSource(double nowMs, String source) {
        sources.remove(source);
        return recompute(nowMs);
    }

    /** Time has passed: what was waited for may be due. To be called now and then. */
    public List<Member> tick(double nowMs) {
        for (Source s : sources.values()) {
            List<String> believed = s.missing.entrySet().stream().filter(e -> nowMs - e.getValue() >= policy.acceptLossAfterMs())
                    .map(Map.Entry::getKey).toList();
            // Only while the source can be read: an old word is no news.
            if (s.lastFailure == null) {
                believed.forEach(id -> {
                    s.missing.remove(id);
                    s.instances.remove(id);
                });
                if (!believed.isEmpty()) {
                    s.upCounts.clear();
                    recordUpCount(nowMs, s);
                }
            }
        }
        return recompute(nowMs);
    }

    /** All members that are in or drain, by id. */
    public List<Member> members() {
        return List.copyOf(members.values());
    }

    /** How each source is doing, in words, by its name. */
    public Map<String, String> describeSources(double nowMs) {
        Map<String, String> all = new LinkedHashMap<>();
        for (Source s : sources.values()) {
            double age = nowMs - s.lastContactMs;
            String text = Double.isNaN(age) ? "never heard" : "%d instances, heard %.1f s ago".formatted(s.instances.size(), age / 1000);
            text += age > policy.staleAfterMs() ? ", stale" : "";
            text += s.missing.isEmpty() ? "" : ", " + s.missing.size() + " kept that it no longer names";
            all.put(s.name, text + (s.lastFailure == null ? "" : ", last failure: " + s.lastFailure));
        }
        return all;
    }

    private Source source(String name) {
        return sources.computeIfAbsent(name, Source::new);
    }

    private Source recordContact(double nowMs, String name) {
        Source s = source(name);
        s.lastContactMs = nowMs;
        s.firstContactMs = Double.isNaN(s.firstContactMs) ? nowMs : s.firstContactMs;
        s.lastFailure = null;
        return s;
    }

    /** An older record never takes the place of a newer one, unless it is told for so long that its clock must be behind. */
    private void storeRecord(double nowMs, Source s, Instance next) {
        Instance held = s.instances.get(next.id());
        boolean behind = held != null && next.changedAtMs() > 0 && next.changedAtMs() < held.changedAtMs()
                && !s.missing.containsKey(next.id());
        if (behind && nowMs - s.olderRecords.computeIfAbsent(next.id(), id -> nowMs) < policy.clockSkewMs()) {
            return;
        }
        s.olderRecords.remove(next.id());
        s.instances.put(next.id(), next);
    }

    /** Lets go of what a source names no more, unless that leaves too few of those that it named of late. */
    private void removeMissing(double nowMs, Source s, Collection<String> gone) {
        long left = s.instances.values().stream().filter(i -> i.status() == Status.UP && !gone.contains(i.id())
                && !s.missing.containsKey(i.id())).count();
        boolean believed = s.trusted || gone.isEmpty() && s.missing.isEmpty() || left >= Math.max(1, policy.floorShare() * maxUpCount(nowMs, s));
        if (believed) {
            // Enough are there: those that were kept when too few were are gone as well.
            s.missing.keySet().forEach(s.instances::remove);
            s.missing.clear();
            gone.forEach(s.instances::remove);
        } else {
            gone.forEach(id -> s.missing.putIfAbsent(id, nowMs));
        }
        recordUpCount(nowMs, s);
    }

    private void recordUpCount(double nowMs, Source s) {
        double up = s.instances.values().stream().filter(i -> i.status() == Status.UP).count();
        while (!s.upCounts.isEmpty() && s.upCounts.peekLast()[1] <= up) {
            s.upCounts.removeLast();
        }
        s.upCounts.addLast(new double[] {nowMs, up});
    }

    /** The most that it named as up within the window. Kept in falling order, so that the first is the greatest. */
    private double maxUpCount(double nowMs, Source s) {
        double[] first = s.upCounts.pollFirst();
        // One that is too old held until the next came.
        while (!s.upCounts.isEmpty() && s.upCounts.peekFirst()[0] < nowMs - policy.floorWindowMs()) {
            first = s.upCounts.pollFirst();
        }
        if (first == null) {
            return 0;
        }
        s.upCounts.addFirst(first);
        return first[1];
    }

    /** Puts the sources' words together, and tells what is other than before. */
    private List<Member> recompute(double nowMs) {
        Map<String, List<Source>> naming = new TreeMap<>();
        for (Source s : sources.values()) {
            s.instances.keySet().forEach(id -> naming.computeIfAbsent(id, i -> new ArrayList<>()).add(s));
        }
        Map<String, Member> next = new TreeMap<>();
        naming.forEach((id, by) -> {
            Member m = merge(nowMs, id, by);
            if (m.state() != State.OUT) {
                next.put(id, m);
            }
        });
        resolveAddressConflicts(next, naming);
        List<Member> changes = new ArrayList<>();
        members.forEach((id, was) -> {
            if (!next.containsKey(id)) {
                flapping.computeIfAbsent(id, i -> new Flapping()).up = false;
                changes.add(new Member(id, was.address(), State.OUT, was.zone(), was.weight(), was.startedAtMs(), nowMs,
                        was.source(), "named no more"));
            }
        });
        next.forEach((id, m) -> {
            if (!m.isSameAs(members.get(id))) {
                changes.add(m);
            }
        });
        members.clear();
        members.putAll(next);
        flapping.entrySet().removeIf(e -> !naming.containsKey(e.getKey()) && e.getValue().holdUntilMs <= nowMs
                && (e.getValue().downTimes.isEmpty() || e.getValue().downTimes.peekLast() < nowMs - policy.flapWindowMs()));
        return changes;
    }

    private Member merge(double nowMs, String id, List<Source> by) {
        Member was = members.get(id);
        Source decides = by.get(0);
        Instance word = decides.instances.get(id);
        for (Source s : by.subList(1, by.size())) {
            Instance other = s.instances.get(id);
            if (precedence(other.status()) > precedence(word.status())) {
                decides = s;
                word = other;
            }
        }
        // The newest record knows where it is and since when, whoever decides on its state.
        Instance newest = by.stream().map(s -> s.instances.get(id)).max(Comparator.comparingLong(Instance::changedAtMs)
                .thenComparingDouble(Instance::startedAtMs)).orElse(word);
        boolean anew = was != null && (!was.address().equals(newest.address()) || newest.startedAtMs() > was.startedAtMs());
        boolean first = was == null && by.stream().allMatch(s -> s.lastContactMs == s.firstContactMs);
        double started = newest.startedAtMs() > 0 || first ? newest.startedAtMs()
                : anew || was == null ? nowMs : was.startedAtMs();
        State state = switch (word.status()) {
            case UP -> State.IN;
            case OUT_OF_SERVICE, DOWN -> State.DRAINING;
            case STARTING -> State.OUT;
            // Nobody knows: it stays as it was, and one that never was in does not come in by this.
            case UNKNOWN -> was == null ? State.OUT : was.state();
        };
        String why = word.status().name() + (anew ? ", started anew" : "") + (decides.missing.containsKey(id)
                ? ", kept though it is named no more: too many went together" : "");
        if (state == State.IN && !isStable(nowMs, id)) {
            state = State.DRAINING;
            why = "UP, but it came and went too often: it must stay up for a while";
        }
        trackFlapping(nowMs, id, word.status() == Status.UP);
        double since = was != null && was.state() == state && !anew ? was.stateSinceMs() : nowMs;
        return new Member(id, newest.address(), state, newest.zone(), newest.weight(), started, since, decides.name, why);
    }

    private static int precedence(Status s) {
        return switch (s) {
            case UP -> 0;
            case UNKNOWN -> 1;
            case STARTING -> 2;
            case DOWN -> 3;
            case OUT_OF_SERVICE -> 4;
        };
    }

    /** Notes that an id has come or gone. */
    private void trackFlapping(double nowMs, String id, boolean up) {
        Flapping f = flapping.computeIfAbsent(id, i -> new Flapping());
        if (f.up && !up) {
            f.downTimes.addLast(nowMs);
            while (f.downTimes.peekFirst() < nowMs - policy.flapWindowMs()) {
                f.downTimes.removeFirst();
            }
            if (f.downTimes.size() >= policy.maxFlaps()) {
                f.holdUntilMs = Double.POSITIVE_INFINITY;
            }
        } else if (!f.up && up && f.holdUntilMs == Double.POSITIVE_INFINITY) {
            f.holdUntilMs = nowMs + policy.flapHoldMs() * (1 << Math.min(MAX_DOUBLINGS, f.holds));
            f.holds++;
        }
        f.up = up;
    }

    /** Whether it has been up for long enough since it came and went too often. */
    private boolean isStable(double nowMs, String id) {
        Flapping f = flapping.get(id);
        if (f != null && f.holds > 0 && f.holdUntilMs <= nowMs - policy.flapWindowMs() && (f.downTimes.isEmpty()
                || f.downTimes.peekLast() < nowMs - policy.flapWindowMs())) {
            f.holds = 0;
        }
        return f == null || f.holdUntilMs <= nowMs;
    }

    /** Of several ids at one address the one with the newest record has it; the others are what was there before. */
    private static void resolveAddressConflicts(Map<String, Member> next, Map<String, List<Source>> naming) {
        Map<String, Member> at = new HashMap<>();
        Set<String> lost = new HashSet<>();
        for (Member m : next.values()) {
            Member other = at.get(m.address());
            if (other == null) {
                at.put(m.address(), m);
            } else {
                Member keeps = changedAt(m, naming) > changedAt(other, naming) ? m : other;
                lost.add(keeps == m ? other.id() : m.id());
                at.put(m.address(), keeps);
            }
        }
        lost.forEach(next::remove);
    }

    private static long changedAt(Member m, Map<String, List<Source>> naming) {
        return naming.get(m.id()).stream().mapToLong(s -> s.instances.get(m.id()).changedAtMs()).max().orElse(0);
    }
}

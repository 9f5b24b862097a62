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
 * Merges the reports of several sources into one list of members, and can explain for each member its state, the
 * reason, since when, and by which source.
 *
 * <ul>
 * <li>A node is in if a source reports it as up and no other source that lists it reports another status: the most
 *     restrictive status counts, so a drain that a single source knows of is a drain.
 * <li>A node that a source no longer lists is removed at once, unless too many disappear together (the <em>floor</em>):
 *     then they are kept until they return, or until the source has reported the same for a long time. A source that
 *     cannot be read changes nothing.
 * <li>Another address or a later start under the same id is another <em>incarnation</em>. A node that appears after the
 *     first list is taken to have just started, unless its source reports otherwise: treating a warm node as cold is
 *     safer than overloading a cold one.
 * <li>If two ids have the same address, the one with the newer record keeps it.
 * <li>A node that comes and goes too often must stay up for a while before it is taken back; it is removed at once.
 * </ul>
 *
 * <p>Not thread-safe.
 */
public final class Membership {

    private static final int MAX_DOUBLINGS = 3;

    /** The last report of a source, and when it was received. */
    private static final class Source {
        final String name;
        final Map<String, Instance> instances = new LinkedHashMap<>();
        /** Instances that the source no longer lists but that are kept, by when it first did not list them. */
        final Map<String, Double> missing = new HashMap<>();
        /** When a record older than the stored one was first reported, by id. */
        final Map<String, Double> olderRecords = new HashMap<>();
        /** How many instances were reported as up, with times, within the window; the greatest count comes first. */
        final Deque<double[]> upCounts = new ArrayDeque<>();
        double lastContactMs = Double.NaN;
        double firstContactMs = Double.NaN;
        String lastFailure;
        /** Whether every removal is accepted, as for an operator's own list. */
        boolean trusted;

        Source(String name) {
            this.name = name;
        }
    }

    /** How often an instance has come and gone. */
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

    /** Accepts every removal by this source, as for an operator's own list. */
    public void trustSource(String source) {
        source(source).trusted = true;
    }

    /**
     * Applies a complete list from a source. Returns the members that changed; removed ones have the state
     * {@link State#OUT}.
     */
    public List<Member> applySnapshot(double nowMs, String source, Collection<Instance> instances) {
        Source s = recordContact(nowMs, source);
        Map<String, Instance> reported = new LinkedHashMap<>();
        for (Instance i : instances) {
            // Of two records with the same id the newer one counts, whatever their order.
            reported.merge(i.id(), i, (a, b) -> b.changedAtMs() >= a.changedAtMs() ? b : a);
        }
        reported.values().forEach(i -> storeRecord(nowMs, s, i));
        List<String> gone = s.instances.keySet().stream().filter(id -> !reported.containsKey(id)).toList();
        reported.keySet().forEach(s.missing::remove);
        removeMissing(nowMs, s, gone);
        return recompute(nowMs);
    }

    /**
     * Applies changes from a source: records that are new or changed, and ids that are gone. Returns the changed
     * members.
     */
    public List<Member> applyChanges(double nowMs, String source, Collection<Instance> updated,
                                     Collection<String> gone) {
        Source s = recordContact(nowMs, source);
        for (Instance i : updated) {
            storeRecord(nowMs, s, i);
            s.missing.remove(i.id());
        }
        removeMissing(nowMs, s, gone.stream().filter(s.instances::containsKey).toList());
        return recompute(nowMs);
    }

    /** A source could not be read: its last report stays in effect. */
    public void sourceFailed(double nowMs, String source, String reason) {
        source(source).lastFailure = reason;
    }

    /** Removes a source and its reports, as it is not read any more. */
    public List<Member> removeSource(double nowMs, String source) {
        sources.remove(source);
        return recompute(nowMs);
    }

    /** Applies what has become due by the passing of time; to be called regularly. Returns the changed members. */
    public List<Member> tick(double nowMs) {
        for (Source s : sources.values()) {
            List<String> expired = s.missing.entrySet().stream()
                    .filter(e -> nowMs - e.getValue() >= policy.acceptLossAfterMs()).map(Map.Entry::getKey).toList();
            // Only while the source can be read: its last report says nothing new about the missing instances.
            if (s.lastFailure == null) {
                expired.forEach(id -> {
                    s.missing.remove(id);
                    s.instances.remove(id);
                });
                if (!expired.isEmpty()) {
                    s.upCounts.clear();
                    recordUpCount(nowMs, s);
                }
            }
        }
        return recompute(nowMs);
    }

    /** All members that are in or draining, by id. */
    public List<Member> members() {
        return List.copyOf(members.values());
    }

    /** The state of each source as text for operators, by its name. */
    public Map<String, String> describeSources(double nowMs) {
        Map<String, String> descriptions = new LinkedHashMap<>();
        for (Source s : sources.values()) {
            double ageMs = nowMs - s.lastContactMs;
            String text = Double.isNaN(ageMs) ? "never heard"
                    : "%d instances, heard %.1f s ago".formatted(s.instances.size(), ageMs / 1000);
            text += ageMs > policy.staleAfterMs() ? ", stale" : "";
            text += s.missing.isEmpty() ? "" : ", " + s.missing.size() + " kept that it no longer names";
            descriptions.put(s.name, text + (s.lastFailure == null ? "" : ", last failure: " + s.lastFailure));
        }
        return descriptions;
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

    /**
     * Stores a record. An older one does not replace a newer one, unless it is reported for so long that the instance's
     * clock must have been set back.
     */
    private void storeRecord(double nowMs, Source s, Instance next) {
        Instance held = s.instances.get(next.id());
        boolean isOlder = held != null && next.changedAtMs() > 0 && next.changedAtMs() < held.changedAtMs()
                && !s.missing.containsKey(next.id());
        if (isOlder && nowMs - s.olderRecords.computeIfAbsent(next.id(), id -> nowMs) < policy.clockSkewMs()) {
            return;
        }
        s.olderRecords.remove(next.id());
        s.instances.put(next.id(), next);
    }

    /** Removes instances that a source no longer lists, unless too few of those that it listed lately would remain. */
    private void removeMissing(double nowMs, Source s, Collection<String> gone) {
        long left = s.instances.values().stream().filter(i -> i.status() == Status.UP && !gone.contains(i.id())
                && !s.missing.containsKey(i.id())).count();
        boolean accepted = s.trusted || gone.isEmpty() && s.missing.isEmpty()
                || left >= Math.max(1, policy.floorShare() * maxUpCount(nowMs, s));
        if (accepted) {
            // Enough remain, so instances that were kept under the floor are removed as well.
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

    /**
     * The most instances reported as up within the window. Counts are kept in descending order, so the first is the
     * greatest.
     */
    private double maxUpCount(double nowMs, Source s) {
        double[] first = s.upCounts.pollFirst();
        // A count that is too old was valid until the next one.
        while (!s.upCounts.isEmpty() && s.upCounts.peekFirst()[0] < nowMs - policy.floorWindowMs()) {
            first = s.upCounts.pollFirst();
        }
        if (first == null) {
            return 0;
        }
        s.upCounts.addFirst(first);
        return first[1];
    }

    /** Merges the reports of all sources, and returns the members that changed. */
    private List<Member> recompute(double nowMs) {
        Map<String, List<Source>> sourcesById = new TreeMap<>();
        for (Source s : sources.values()) {
            s.instances.keySet().forEach(id -> sourcesById.computeIfAbsent(id, i -> new ArrayList<>()).add(s));
        }
        Map<String, Member> next = new TreeMap<>();
        sourcesById.forEach((id, reportedBy) -> {
            Member m = merge(nowMs, id, reportedBy);
            if (m.state() != State.OUT) {
                next.put(id, m);
            }
        });
        resolveAddressConflicts(next, sourcesById);
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
        flapping.entrySet().removeIf(e -> !sourcesById.containsKey(e.getKey()) && e.getValue().holdUntilMs <= nowMs
                && (e.getValue().downTimes.isEmpty()
                        || e.getValue().downTimes.peekLast() < nowMs - policy.flapWindowMs()));
        return changes;
    }

    private Member merge(double nowMs, String id, List<Source> reportedBy) {
        Member was = members.get(id);
        Source decisiveSource = reportedBy.get(0);
        Instance decisive = decisiveSource.instances.get(id);
        for (Source s : reportedBy.subList(1, reportedBy.size())) {
            Instance other = s.instances.get(id);
            if (precedence(other.status()) > precedence(decisive.status())) {
                decisiveSource = s;
                decisive = other;
            }
        }
        // The newest record has the address and start time, whichever source decides on the state.
        Instance newest = reportedBy.stream().map(s -> s.instances.get(id))
                .max(Comparator.comparingLong(Instance::changedAtMs).thenComparingDouble(Instance::startedAtMs))
                .orElse(decisive);
        boolean restarted = was != null
                && (!was.address().equals(newest.address()) || newest.startedAtMs() > was.startedAtMs());
        boolean inFirstSnapshot = was == null && reportedBy.stream().allMatch(s -> s.lastContactMs == s.firstContactMs);
        double startedMs = newest.startedAtMs() > 0 || inFirstSnapshot ? newest.startedAtMs()
                : restarted || was == null ? nowMs : was.startedAtMs();
        State state = switch (decisive.status()) {
            case UP -> State.IN;
            case OUT_OF_SERVICE, DOWN -> State.DRAINING;
            case STARTING -> State.OUT;
            // The state stays as it was; an instance that was never in is not added because of an unknown status.
            case UNKNOWN -> was == null ? State.OUT : was.state();
        };
        String reason = decisive.status().name() + (restarted ? ", started anew" : "")
                + (decisiveSource.missing.containsKey(id)
                ? ", kept though it is named no more: too many went together" : "");
        if (state == State.IN && !isStable(nowMs, id)) {
            state = State.DRAINING;
            reason = "UP, but it came and went too often: it must stay up for a while";
        }
        trackFlapping(nowMs, id, decisive.status() == Status.UP);
        double stateSinceMs = was != null && was.state() == state && !restarted ? was.stateSinceMs() : nowMs;
        return new Member(id, newest.address(), state, newest.zone(), newest.weight(), startedMs, stateSinceMs,
                decisiveSource.name, reason);
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

    /** Records that an instance has come or gone. */
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

    /** Whether an instance that came and went too often has been up for long enough since. */
    private boolean isStable(double nowMs, String id) {
        Flapping f = flapping.get(id);
        if (f != null && f.holds > 0 && f.holdUntilMs <= nowMs - policy.flapWindowMs() && (f.downTimes.isEmpty()
                || f.downTimes.peekLast() < nowMs - policy.flapWindowMs())) {
            f.holds = 0;
        }
        return f == null || f.holdUntilMs <= nowMs;
    }

    /**
     * If several ids have the same address, the one with the newest record keeps it; the others are earlier users of
     * it.
     */
    private static void resolveAddressConflicts(Map<String, Member> next, Map<String, List<Source>> sourcesById) {
        Map<String, Member> byAddress = new HashMap<>();
        Set<String> superseded = new HashSet<>();
        for (Member m : next.values()) {
            Member other = byAddress.get(m.address());
            if (other == null) {
                byAddress.put(m.address(), m);
            } else {
                Member winner = changedAt(m, sourcesById) > changedAt(other, sourcesById) ? m : other;
                superseded.add(winner == m ? other.id() : m.id());
                byAddress.put(m.address(), winner);
            }
        }
        superseded.forEach(next::remove);
    }

    private static long changedAt(Member m, Map<String, List<Source>> sourcesById) {
        return sourcesById.get(m.id()).stream().mapToLong(s -> s.instances.get(m.id()).changedAtMs()).max().orElse(0);
    }
}

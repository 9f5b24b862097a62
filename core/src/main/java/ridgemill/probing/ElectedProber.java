package ridgemill.probing;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import ridgemill.lease.EchoTimestamps;
import ridgemill.probing.ProbeCodec.ProbeRequest;
import ridgemill.probing.ProbeCodec.ProbeResult;

/**
 * One proxy's part in asking spared nodes whether they are back. Whoever spares one says so to the one that holds the lease, as long
 * as it does; that one probes each node that anybody spares, one probe at a time, and tells those that spare it what came of it. A proxy
 * that is told nothing tries its spared nodes with requests when their time is over, as one without peers does. Nothing is sent while
 * nobody spares anything. Times are milliseconds on this proxy's own clock.
 *
 * <p>What is told is passed on to the decisions where the probe began after the node was spared here: it answers a mark that was sent
 * since, comes under no lower term and later than what was told before.
 */
public final class ElectedProber {

    /** From one probe of a node to the next, and from one saying that it is spared to the next. */
    public static final double PROBE_INTERVAL_MS = 250;
    /** Who has not said for so long that it spares a node is told no more. */
    private static final double REQUEST_TTL_MS = 4 * PROBE_INTERVAL_MS;
    /** A mark that old, but for the probe's own time, was too long on its way. */
    private static final double MAX_RESULT_AGE_MS = 3 * PROBE_INTERVAL_MS;
    /** How often it looks whether anything is spared. */
    private static final double TICK_INTERVAL_MS = 100;
    /** Who told something within this long is the one to ask. */
    private static final double PROBER_TTL_MS = 4 * PROBE_INTERVAL_MS;

    /** Where words go, and what is done; called from within the calls of {@link ElectedProber}. */
    public interface Out {

        /** Says to another member what this proxy spares. */
        void sendRequest(int to, ProbeRequest asks);

        /** Tells a member what came of a probe. */
        void sendResult(int to, ProbeResult tells);

        /** Begins a probe of a node; {@link ElectedProber#probeEnded} is owed for it, now or later. */
        void startProbe(int node);

        /** A probe of a node that is spared here has ended, made by whomever. */
        void nodeProbed(int node, boolean answered, double tookMs);
    }

    private record Subscriber(int timestamp, double receivedMs, Set<Integer> nodes) { }

    /** A probe of a node: when it began, and the marks of those that spared it then. */
    private record Probe(double startedMs, boolean inProgress, Map<Integer, Integer> subscriberTimestamps) { }

    private final Out out;
    private final EchoTimestamps timestamps;
    private final Map<Integer, Double> unreachableSince = new LinkedHashMap<>();
    private final Map<Integer, Subscriber> subscribers = new TreeMap<>();
    private final Map<Integer, Probe> probes = new HashMap<>();
    private double nextRequestMs;
    private int proberMember = -1;
    private double lastResultMs = Double.NEGATIVE_INFINITY;
    private long term;
    private int sequence;
    private long probesStarted;
    private long resultsSent;
    private long resultsReceived;
    private long resultsRejected;

    public ElectedProber(double now, Out out) {
        this.timestamps = new EchoTimestamps(now);
        this.out = out;
    }

    /**
     * Does what is due; returns when something will be.
     *
     * @param holds whether this proxy probes for all
     * @param electors who may do so: all of them are asked as long as it is not known which does
     * @param spared the nodes that this proxy spares now and that a probe may bring back
     */
    public double tick(double now, boolean holds, Collection<Integer> electors, Collection<Integer> spared) {
        unreachableSince.keySet().retainAll(Set.copyOf(spared));
        spared.forEach(n -> unreachableSince.putIfAbsent(n, now));
        if (holds) {
            startProbes(now);
        } else if (!unreachableSince.isEmpty() && now >= nextRequestMs) {
            nextRequestMs = now + PROBE_INTERVAL_MS;
            ProbeRequest asks = new ProbeRequest(timestamps.timestamp(now), List.copyOf(unreachableSince.keySet()));
            if (now - lastResultMs <= PROBER_TTL_MS) {
                out.sendRequest(proberMember, asks);
            } else {
                electors.forEach(e -> out.sendRequest(e, asks));
            }
        }
        return now + TICK_INTERVAL_MS;
    }

    private void startProbes(double now) {
        subscribers.values().removeIf(l -> now - l.receivedMs() > REQUEST_TTL_MS);
        Set<Integer> wanted = new LinkedHashSet<>(unreachableSince.keySet());
        subscribers.values().forEach(l -> wanted.addAll(l.nodes()));
        probes.keySet().removeIf(n -> !wanted.contains(n) && !probes.get(n).inProgress());
        for (int node : wanted) {
            Probe last = probes.get(node);
            if (last == null || !last.inProgress() && now - last.startedMs() >= PROBE_INTERVAL_MS) {
                Map<Integer, Integer> marks = new TreeMap<>();
                subscribers.forEach((member, l) -> {
                    if (l.nodes().contains(node)) {
                        marks.put(member, l.timestamp());
                    }
                });
                probes.put(node, new Probe(now, true, marks));
                probesStarted++;
                out.startProbe(node);
            }
        }
    }

    /**
     * A probe of this proxy's own has ended.
     *
     * @param holding the term under which others may be told now; 0 where they may not
     */
    public void probeEnded(double now, int node, boolean answered, long holding) {
        Probe probe = probes.get(node);
        if (probe == null || !probe.inProgress()) {
            return;
        }
        probes.put(node, new Probe(probe.startedMs(), false, Map.of()));
        double took = now - probe.startedMs();
        if (unreachableSince.getOrDefault(node, Double.POSITIVE_INFINITY) <= probe.startedMs()) {
            out.nodeProbed(node, answered, took);
        }
        if (holding > 0 && holding >= term) {
            sequence = holding == term ? sequence : 0;
            term = holding;
            probe.subscriberTimestamps().forEach((member, mark) -> {
                sequence++;
                resultsSent++;
                out.sendResult(member, new ProbeResult(term, sequence, mark, node, answered, (int) Math.ceil(took)));
            });
        }
    }

    /** A member says what it spares. */
    public void requestReceived(double now, int member, ProbeRequest asks) {
        Subscriber before = subscribers.get(member);
        if (before == null || EchoTimestamps.supersedes(asks.timestamp(), before.timestamp(), now - before.receivedMs(), REQUEST_TTL_MS)) {
            subscribers.put(member, new Subscriber(asks.timestamp(), now, new LinkedHashSet<>(asks.nodes())));
        }
    }

    /** A member tells what came of a probe. */
    public void resultReceived(double now, int from, ProbeResult tells) {
        resultsReceived++;
        boolean later = tells.term() > term || tells.term() == term && tells.sequence() > sequence;
        double age = timestamps.ageMs(now, tells.echoTimestamp());
        double markedAt = now - age;
        if (!later || age - tells.durationMs() > MAX_RESULT_AGE_MS) {
            resultsRejected++;
            return;
        }
        term = tells.term();
        sequence = tells.sequence();
        proberMember = from;
        lastResultMs = now;
        // One that began before it was spared here says nothing of what it was spared for.
        if (markedAt >= unreachableSince.getOrDefault(tells.node(), Double.POSITIVE_INFINITY)) {
            out.nodeProbed(tells.node(), tells.answered(), tells.durationMs());
        } else {
            resultsRejected++;
        }
    }

    /** How it goes, in words. */
    public String explain(boolean holds) {
        return "probes: this proxy " + (holds ? "asks for all, " + probes.size() + " nodes now" : "is told") + ", spares " + unreachableSince.size()
                + "; " + probesStarted + " made, " + resultsSent + " told, " + resultsReceived + " heard, " + resultsRejected + " of them refused as old";
    }
}

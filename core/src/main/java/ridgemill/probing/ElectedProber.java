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
 * One proxy's part in probing unreachable nodes for a fleet. A proxy with unreachable nodes reports them to the holder
 * of the lease for as long as they are unreachable. The holder probes each reported node, one probe at a time, and
 * sends the result to the proxies that reported it. A proxy that receives no results tries its unreachable nodes with
 * requests when their time is over, as a proxy without peers does. Nothing is sent while no node is unreachable. Times
 * are milliseconds on this proxy's own clock.
 *
 * <p>A result is passed to the routing policy only if the probe began after the node became unreachable here: the
 * result must echo a timestamp sent since then, have no lower term, and be later than the previous result.
 */
public final class ElectedProber {

    /** The time between two probes of a node, and between two reports that it is unreachable. */
    public static final double PROBE_INTERVAL_MS = 250;
    /** A subscriber that has not reported a node for this long is sent no more results. */
    private static final double REQUEST_TTL_MS = 4 * PROBE_INTERVAL_MS;
    /**
     * A result whose echoed timestamp is older than this, apart from the duration of the probe, was in transit for too
     * long.
     */
    private static final double MAX_RESULT_AGE_MS = 3 * PROBE_INTERVAL_MS;
    /** The time between two checks for unreachable nodes. */
    private static final double TICK_INTERVAL_MS = 100;
    /** The member that sent a result within this time is the one to send requests to. */
    private static final double PROBER_TTL_MS = 4 * PROBE_INTERVAL_MS;

    /** The actions of a prober; called from within the calls of {@link ElectedProber}. */
    public interface Out {

        /** Reports the unreachable nodes of this proxy to another member. */
        void sendRequest(int to, ProbeRequest request);

        /** Sends the result of a probe to a member. */
        void sendResult(int to, ProbeResult result);

        /** Starts a probe of a node; {@link ElectedProber#probeEnded} must be called for it, now or later. */
        void startProbe(int node);

        /** A probe of a node that is unreachable here has ended, made by any member. */
        void nodeProbed(int node, boolean answered, double durationMs);
    }

    private record Subscriber(int timestamp, double receivedMs, Set<Integer> nodes) { }

    /** A probe of a node: when it started, and the timestamps of the subscribers that had reported the node then. */
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
     * Does what is due and returns when something will be due next.
     *
     * @param holdsLease whether this proxy probes for all
     * @param voters the members of which one may be the prober: all of them receive requests until it is known which
     *     one is
     * @param unreachable the nodes that are unreachable from here now and that a probe may bring back
     */
    public double tick(double now, boolean holdsLease, Collection<Integer> voters, Collection<Integer> unreachable) {
        unreachableSince.keySet().retainAll(Set.copyOf(unreachable));
        unreachable.forEach(n -> unreachableSince.putIfAbsent(n, now));
        if (holdsLease) {
            startProbes(now);
        } else if (!unreachableSince.isEmpty() && now >= nextRequestMs) {
            nextRequestMs = now + PROBE_INTERVAL_MS;
            ProbeRequest request = new ProbeRequest(timestamps.timestamp(now), List.copyOf(unreachableSince.keySet()));
            if (now - lastResultMs <= PROBER_TTL_MS) {
                out.sendRequest(proberMember, request);
            } else {
                voters.forEach(e -> out.sendRequest(e, request));
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
                Map<Integer, Integer> subscriberTimestamps = new TreeMap<>();
                subscribers.forEach((member, l) -> {
                    if (l.nodes().contains(node)) {
                        subscriberTimestamps.put(member, l.timestamp());
                    }
                });
                probes.put(node, new Probe(now, true, subscriberTimestamps));
                probesStarted++;
                out.startProbe(node);
            }
        }
    }

    /**
     * A probe by this proxy has ended.
     *
     * @param leaseTerm the term under which results may be sent now; 0 if they may not
     */
    public void probeEnded(double now, int node, boolean answered, long leaseTerm) {
        Probe probe = probes.get(node);
        if (probe == null || !probe.inProgress()) {
            return;
        }
        probes.put(node, new Probe(probe.startedMs(), false, Map.of()));
        double durationMs = now - probe.startedMs();
        if (unreachableSince.getOrDefault(node, Double.POSITIVE_INFINITY) <= probe.startedMs()) {
            out.nodeProbed(node, answered, durationMs);
        }
        if (leaseTerm > 0 && leaseTerm >= term) {
            sequence = leaseTerm == term ? sequence : 0;
            term = leaseTerm;
            probe.subscriberTimestamps().forEach((member, timestamp) -> {
                sequence++;
                resultsSent++;
                out.sendResult(member,
                        new ProbeResult(term, sequence, timestamp, node, answered, (int) Math.ceil(durationMs)));
            });
        }
    }

    /** A member reports its unreachable nodes. */
    public void requestReceived(double now, int member, ProbeRequest request) {
        Subscriber before = subscribers.get(member);
        if (before == null || EchoTimestamps.supersedes(request.timestamp(), before.timestamp(),
                now - before.receivedMs(), REQUEST_TTL_MS)) {
            subscribers.put(member, new Subscriber(request.timestamp(), now, new LinkedHashSet<>(request.nodes())));
        }
    }

    /** A member has sent the result of a probe. */
    public void resultReceived(double now, int from, ProbeResult result) {
        resultsReceived++;
        boolean isNewer = result.term() > term || result.term() == term && result.sequence() > sequence;
        double ageMs = timestamps.ageMs(now, result.echoTimestamp());
        double requestedAtMs = now - ageMs;
        if (!isNewer || ageMs - result.durationMs() > MAX_RESULT_AGE_MS) {
            resultsRejected++;
            return;
        }
        term = result.term();
        sequence = result.sequence();
        proberMember = from;
        lastResultMs = now;
        // A probe that began before the node became unreachable here says nothing about the current failure.
        if (requestedAtMs >= unreachableSince.getOrDefault(result.node(), Double.POSITIVE_INFINITY)) {
            out.nodeProbed(result.node(), result.answered(), result.durationMs());
        } else {
            resultsRejected++;
        }
    }

    /** The state of the prober as text for operators. */
    public String explain(boolean holdsLease) {
        return "probes: this proxy " + (holdsLease ? "asks for all, " + probes.size() + " nodes now" : "is told")
                + ", spares " + unreachableSince.size() + "; " + probesStarted + " made, "
                + resultsSent + " told, " + resultsReceived + " heard, " + resultsRejected + " of them refused as old";
    }
}

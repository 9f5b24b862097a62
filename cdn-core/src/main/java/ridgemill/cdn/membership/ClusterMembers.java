package ridgemill.cdn.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import ridgemill.cdn.quorum.VoterSet;

/** What a process knows of the other processes: core machines, the voting stores, and edge proxies heard lately. */
public final class ClusterMembers {

    /** For how long a proxy that is not heard counts among those that share limits, in milliseconds. */
    static final double PROXY_RETENTION_MS = 15_000;

    private final TreeSet<String> coreHosts = new TreeSet<>();
    private final Map<String, Double> proxyHeardAtMs = new HashMap<>();
    private VoterSet voters = VoterSet.UNKNOWN;

    /** Adds core machines by their IP addresses. Returns whether one was new. */
    public boolean addCoreHosts(Collection<String> hosts) {
        return coreHosts.addAll(hosts);
    }

    /** The IP addresses of all known core machines, in order. */
    public List<String> coreHosts() {
        return List.copyOf(coreHosts);
    }

    /** Takes newer voters. Returns whether they are newer than those that were known. */
    public boolean updateVoters(VoterSet learned) {
        if (!learned.isNewerThan(voters)) {
            return false;
        }
        voters = learned;
        return true;
    }

    /** The voting stores, in the newest epoch that was heard of. */
    public VoterSet voters() {
        return voters;
    }

    /** Notes that an edge proxy was heard. */
    public void recordProxy(String name, double nowMs) {
        proxyHeardAtMs.put(name, nowMs);
    }

    /** The names of the edge proxies that were heard lately, in order. */
    public List<String> proxies(double nowMs) {
        removeExpiredProxies(nowMs);
        return proxyHeardAtMs.keySet().stream().sorted().toList();
    }

    private void removeExpiredProxies(double nowMs) {
        proxyHeardAtMs.values().removeIf(heardAt -> nowMs - heardAt > PROXY_RETENTION_MS);
    }

    /** How many edge proxies were heard lately; at least 1. */
    public int proxyCount(double nowMs) {
        removeExpiredProxies(nowMs);
        return Math.max(1, proxyHeardAtMs.size());
    }
}

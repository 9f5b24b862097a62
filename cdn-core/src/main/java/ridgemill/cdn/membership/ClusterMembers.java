package ridgemill.cdn.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import ridgemill.cdn.quorum.VoterSet;

/** The other processes that a process knows: core machines, the voting stores, and recently active edge proxies. */
public final class ClusterMembers {

    /** How long a proxy that sends nothing counts among those that share limits, in milliseconds. */
    static final double PROXY_RETENTION_MS = 15_000;

    private final TreeSet<String> coreHosts = new TreeSet<>();
    private final Map<String, Double> proxyLastSeenMs = new HashMap<>();
    private VoterSet voters = VoterSet.UNKNOWN;

    /** Adds core machines by their IP addresses. Returns whether any of them is new. */
    public boolean addCoreHosts(Collection<String> hosts) {
        return coreHosts.addAll(hosts);
    }

    /** The IP addresses of all known core machines, sorted. */
    public List<String> coreHosts() {
        return List.copyOf(coreHosts);
    }

    /** Sets the voters if they are newer than the known ones. Returns whether they are. */
    public boolean updateVoters(VoterSet learned) {
        if (!learned.isNewerThan(voters)) {
            return false;
        }
        voters = learned;
        return true;
    }

    /** The voting stores of the newest known epoch. */
    public VoterSet voters() {
        return voters;
    }

    /** Records that an edge proxy is active. */
    public void recordProxy(String name, double nowMs) {
        proxyLastSeenMs.put(name, nowMs);
    }

    /** The names of the recently active edge proxies, sorted. */
    public List<String> proxies(double nowMs) {
        removeExpiredProxies(nowMs);
        return proxyLastSeenMs.keySet().stream().sorted().toList();
    }

    private void removeExpiredProxies(double nowMs) {
        proxyLastSeenMs.values().removeIf(lastSeenMs -> nowMs - lastSeenMs > PROXY_RETENTION_MS);
    }

    /** The number of recently active edge proxies, at least 1. */
    public int proxyCount(double nowMs) {
        removeExpiredProxies(nowMs);
        return Math.max(1, proxyLastSeenMs.size());
    }
}

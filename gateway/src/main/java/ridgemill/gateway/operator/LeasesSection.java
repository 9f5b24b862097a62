package ridgemill.gateway.operator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ridgemill.gateway.lease.LeaseSettings;
import ridgemill.gateway.net.Addresses;
import ridgemill.lease.LeaseManager;
import ridgemill.lease.LeasePolicy;

/** {@code [leases]}: tasks that one proxy of the fleet does at a time, and who votes on it. */
final class LeasesSection {

    private static final int USUAL_VOTERS = 5;
    private static final int MOST_VOTERS = 15;
    private static final double USUAL_WITHIN_MS = 500;

    private LeasesSection() { }

    static LeaseSettings read(Section root, int loops) {
        return root.table("leases").map(s -> settings(s, loops)).orElse(null);
    }

    private static LeaseSettings settings(Section s, int loops) {
        if (loops > 1) {
            s.problem(null, "loops-and-leases", "leases belong to one loop, and process.loops is " + loops,
                    "take [leases] out, or set loops = 1");
        }
        LeasePolicy usual = LeasePolicy.DEFAULT;
        double length = s.duration("length").orElse(usual.lengthMs());
        double drift = s.number("drift", 0, LeasePolicy.MAX_DRIFT).orElse(usual.drift());
        double margin = s.duration("margin").orElse(usual.marginMs());
        double answer = s.duration("answer").orElse(usual.answerMs());
        LeasePolicy policy = usual;
        try {
            policy = new LeasePolicy(length, drift, margin, answer);
        } catch (IllegalArgumentException e) {
            s.problem(s.has("length") ? "length" : null, "no-time-to-act", e.getMessage(), "make length longer, or margin and answer shorter");
        }
        int version = s.count("version", 1, Integer.MAX_VALUE).orElse(1);
        int voters = s.count("voters", 1, MOST_VOTERS).orElse(USUAL_VOTERS);
        if (voters % 2 == 0) {
            s.problem("voters", "even", "an even number bears no more failures than one less", "give an odd one");
        }
        List<InetSocketAddress> members = addresses(s, "members", true);
        List<InetSocketAddress> before = addresses(s, "before", true);
        if (!before.isEmpty() && version == 1) {
            s.problem("before", "no-version-before", "version 1 has none before it", "raise version with each change");
        }
        Map<String, LeaseSettings.Call> calls = calls(s, policy);
        boolean probes = s.flag("probes").orElse(false);
        s.done();
        return new LeaseSettings(policy, version, members, before, voters, calls, probes);
    }

    private static Map<String, LeaseSettings.Call> calls(Section s, LeasePolicy policy) {
        Map<String, LeaseSettings.Call> calls = new HashMap<>();
        Set<Integer> hashes = new HashSet<>();
        s.table("calls").ifPresent(all -> all.tables().forEach(t -> {
            String name = t.ownName();
            if (!name.matches("[A-Za-z0-9._-]{1,64}") || !hashes.add(LeaseManager.hash(name))) {
                t.problem(null, "bad-name", "can't be the name of a task", "use letters, digits and . _ -, or another name");
            }
            List<InetSocketAddress> to = addresses(t, "to", false);
            if (to.isEmpty()) {
                t.problem(t.has("to") ? "to" : null, "missing", "calls nobody", "set to = [\"127.0.0.1:9400\"]");
            }
            String path = t.text("path").orElse("/");
            if (!path.matches("/[!-~]*")) {
                t.problem("path", "bad-path", "\"" + path + "\" is no path", "write it as \"/sweep\"");
            }
            double every = t.duration("every").orElse(0.0);
            double within = t.duration("within").orElse(Math.min(USUAL_WITHIN_MS, policy.holdMs() / 2));
            if (within > policy.holdMs() / 2) {
                t.problem("within", "no-time-to-act", "a call may take " + within + " ms, and a lease is held for " + policy.holdMs()
                        + " ms at most", "give half of that or less, or a longer leases.length");
            }
            t.done();
            calls.put(name, new LeaseSettings.Call(name, to, path, every, within));
        }));
        return calls;
    }

    private static List<InetSocketAddress> addresses(Section s, String key, boolean peers) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        Set<Integer> numbers = new HashSet<>();
        for (String text : s.texts(key)) {
            try {
                InetSocketAddress address = Addresses.parse(text);
                addresses.add(address);
                if (peers && !numbers.add(LeaseSettings.memberId(address))) {
                    s.problem(key, "duplicate", text + " is named twice, or can't be told from another", "name each once");
                }
            } catch (IllegalArgumentException e) {
                s.problem(key, "bad-address", e.getMessage(), "write it as \"127.0.0.1:7946\"; no name is looked up");
            }
        }
        return addresses;
    }
}

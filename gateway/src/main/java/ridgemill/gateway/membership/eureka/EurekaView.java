package ridgemill.gateway.membership.eureka;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import java.util.regex.Pattern;
import ridgemill.gateway.membership.eureka.EurekaRecord.Action;
import ridgemill.gateway.net.Addresses;
import ridgemill.membership.Instance;

/**
 * What is known of a registry: its last full answer, and the deltas since. A delta is a queue of the last minutes and not
 * of what is new to us, so the same may come again; an older record changes nothing, and the registry's own summary tells
 * whether what we have is what it has. Free of I/O; the time is passed in.
 */
final class EurekaView {

    private static final double DEFAULT_WEIGHT = 1;
    /** A host's name (RFC 1123, section 2.1); anything else is asked of no name server. */
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9.-]{0,252}");

    /** When an instance started, as far as it can be told, and by which record. */
    private record Start(double atMs, long serviceUpMs, long dirtyMs) { }

    private final Map<String, EurekaRecord> records = new LinkedHashMap<>();
    private final Map<String, Start> starts = new HashMap<>();
    private final Map<String, String> odd = new TreeMap<>();
    private final Set<String> names = new TreeSet<>();

    /** Takes in a full answer. */
    void full(EurekaAnswer answer) {
        Map<String, EurekaRecord> before = new HashMap<>(records);
        records.clear();
        for (EurekaRecord r : answer.records()) {
            EurekaRecord other = records.get(r.key());
            if (other == null || r.dirtyMs() >= other.dirtyMs()) {
                records.put(r.key(), r);
            }
        }
        records.values().forEach(r -> started(r, before.get(r.key())));
        starts.keySet().retainAll(records.keySet());
    }

    /**
     * Takes in a delta.
     *
     * @return whether what is known is now what the registry has, by its own summary; a full answer is due if not
     */
    boolean delta(EurekaAnswer answer) {
        for (EurekaRecord r : answer.records()) {
            EurekaRecord held = records.get(r.key());
            if (r.action() == Action.DELETED) {
                // Of one that has registered anew since, it is old news.
                if (held != null && r.dirtyMs() >= held.dirtyMs()) {
                    records.remove(r.key());
                    starts.remove(r.key());
                }
            } else if (held == null || r.dirtyMs() >= held.dirtyMs()) {
                records.put(r.key(), r);
                started(r, held);
            }
        }
        return answer.hash().isEmpty() || answer.hash().equals(hash());
    }

    /** The summary as a registry makes it: each status and how many have it, in the order of their names. */
    String hash() {
        Map<String, Integer> counts = new TreeMap<>();
        records.values().forEach(r -> counts.merge(r.status().name(), 1, Integer::sum));
        StringBuilder text = new StringBuilder();
        counts.forEach((s, n) -> text.append(s).append('_').append(n).append('_'));
        return text.toString();
    }

    /**
     * A registry that has lost its leases makes new ones for instances that run on, so only a lease that is newer together
     * with a record that its instance changed is another start.
     */
    private void started(EurekaRecord r, EurekaRecord before) {
        long told = number(r.metadata().get("started-at"));
        Start known = starts.get(r.key());
        if (told > 0) {
            starts.put(r.key(), new Start(told, r.serviceUpMs(), r.dirtyMs()));
        } else if (known == null || before == null) {
            starts.put(r.key(), new Start(0, r.serviceUpMs(), r.dirtyMs()));
        } else if (r.serviceUpMs() > known.serviceUpMs() && r.dirtyMs() > known.dirtyMs()) {
            starts.put(r.key(), new Start(r.serviceUpMs(), r.serviceUpMs(), r.dirtyMs()));
        } else {
            starts.put(r.key(), new Start(known.atMs(), Math.max(known.serviceUpMs(), r.serviceUpMs()),
                    Math.max(known.dirtyMs(), r.dirtyMs())));
        }
    }

    private static long number(String text) {
        return text != null && text.matches("[0-9]{1,18}") ? Long.parseLong(text) : 0;
    }

    /** The instances of an application that can be reached without a look-up. */
    List<Instance> instances(String app) {
        return instances(app, name -> null);
    }

    /**
     * The instances of an application that can be reached; those that can't are told of by {@link #odd}, and their hosts'
     * names by {@link #names}.
     *
     * @param known the address of a name, null where none is known
     */
    List<Instance> instances(String app, UnaryOperator<String> known) {
        List<Instance> all = new ArrayList<>();
        odd.clear();
        names.clear();
        for (EurekaRecord r : records.values()) {
            // By a virtual address all that came was asked for.
            if (app.indexOf(':') >= 0 || r.app().equalsIgnoreCase(app)) {
                String address = address(r);
                if (address == null && r.port() > 0) {
                    address = byName(r, known);
                }
                if (address == null) {
                    odd.put(r.key(), r.port() == 0 ? "has no port that is enabled" : "has no numeric address: " + r.ip() + ", "
                            + r.host());
                    continue;
                }
                all.add(new Instance(r.id(), address, r.effective(), r.metadata().getOrDefault("zone", ""), weight(r),
                        starts.get(r.key()).atMs(), r.dirtyMs()));
            }
        }
        return all;
    }

    /** Instances that were left out, and why. */
    Map<String, String> odd() {
        return Map.copyOf(odd);
    }

    /** Names of hosts of whose instances no address is told. */
    Set<String> names() {
        return Set.copyOf(names);
    }

    private String byName(EurekaRecord r, UnaryOperator<String> known) {
        String name = r.host().isEmpty() ? r.ip() : r.host();
        if (!NAME.matcher(name).matches()) {
            return null;
        }
        names.add(name);
        String address = known.apply(name);
        return address == null ? null : address + ":" + r.port();
    }

    int size() {
        return records.size();
    }

    private static String address(EurekaRecord r) {
        for (String host : List.of(r.ip(), r.host())) {
            try {
                if (r.port() > 0 && !host.isEmpty()) {
                    Addresses.parse(host + ":" + r.port());
                    return host + ":" + r.port();
                }
            } catch (IllegalArgumentException e) {
                // The other may be one.
            }
        }
        return null;
    }

    private static double weight(EurekaRecord r) {
        try {
            double w = Double.parseDouble(r.metadata().getOrDefault("weight", "1"));
            return w > 0 && w <= 1000 ? w : DEFAULT_WEIGHT;
        } catch (NumberFormatException e) {
            return DEFAULT_WEIGHT;
        }
    }
}

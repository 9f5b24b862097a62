package ridgemill.datacenter;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * What an installation allows between its halls.
 *
 * @param datacenter this hall's own name
 * @param gateways of each other hall, by its name, the preferred hall first
 * @param classes that may cross; empty for all
 * @param sharedDeduplication halls whose nodes drop the repeats of keyed writes that may have run in this one, and this one theirs
 * @param maxForwardsPerSecond crossings that this gateway starts a second at most, greater than 0
 * @param maxInFlightPerGateway crossings that it has out at once to one gateway at most, 1 or more
 * @param maxRemoteRequests requests of other halls that it has open at once at most, 0 or more; 0 takes none
 * @param hopLimit how many halls a request may have been in before it enters this one, 1 or more
 * @param gatewayGoneAfterMs for how long a gateway must have refused connections to be taken for one that runs nothing
 */
public record DatacenterPolicy(String datacenter, Map<String, List<String>> gateways, Set<String> classes, Set<String> sharedDeduplication,
                         double maxForwardsPerSecond, int maxInFlightPerGateway, int maxRemoteRequests, int hopLimit, double gatewayGoneAfterMs) {

    private static final Pattern NAME = Pattern.compile("[0-9A-Za-z_.-]{1,64}");

    public DatacenterPolicy {
        if (datacenter == null || datacenter.isEmpty() || gateways.containsKey(datacenter)) {
            throw new IllegalArgumentException("a hall has a name that no other has: " + datacenter);
        }
        if (!(maxForwardsPerSecond > 0) || maxInFlightPerGateway < 1 || maxRemoteRequests < 0 || hopLimit < 1 || !(gatewayGoneAfterMs >= 0)) {
            throw new IllegalArgumentException("bounds between halls are positive");
        }
        Map<String, List<String>> copy = new LinkedHashMap<>();
        gateways.forEach((h, of) -> copy.put(h, List.copyOf(of)));
        gateways = copy;
        classes = Set.copyOf(classes);
        sharedDeduplication = Set.copyOf(sharedDeduplication);
    }

    /** Whether a hall may have this name: it stands in fields, certificates and logs. */
    public static boolean isValidName(String text) {
        return NAME.matcher(text).matches();
    }

    /** All gateways of all other halls. */
    public List<String> allGateways() {
        return gateways.values().stream().flatMap(Collection::stream).toList();
    }

    /** The hall of a gateway; null for one that the policy does not name. */
    public String datacenterOf(String gateway) {
        return gateways.entrySet().stream().filter(e -> e.getValue().contains(gateway)).map(Map.Entry::getKey).findFirst()
                .orElse(null);
    }

    /** Whether requests of a class may cross. */
    public boolean isForwardable(String service) {
        return classes.isEmpty() || classes.contains(service);
    }
}

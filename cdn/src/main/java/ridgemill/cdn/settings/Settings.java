package ridgemill.cdn.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * What a process is told by its settings file.
 *
 * @param nodeName the machine's name
 * @param ipAddress the machine's address
 * @param zone the zone that the machine is in
 * @param zoneRegions the region of each zone
 * @param firstInternalPort the first of the ports for traffic between processes of the system
 * @param lastInternalPort the last of them
 * @param seedAddresses where control may be found, as {@code IP:port}
 * @param firstStart whether this is the very first start of the whole system
 * @param dataDirectory the folder on the disk; null where there is no disk
 * @param frontAddress where clients are served, as {@code IP:port}; null where none are
 * @param readyAddress where readiness is told; null where it is not
 * @param controlAddress where instances and operators are served; null where they are not
 * @param heartbeatIntervalMs how often instances send heartbeats, in milliseconds
 * @param bounds the figures of the rules
 * @param fileDescriptors how many descriptors the process may have open
 * @param toleratedMachines how many counted machines may be lost at once
 * @param lossCounted whether this machine is one of those
 */
public record Settings(
        String nodeName,
        String ipAddress,
        String zone,
        Map<String, String> zoneRegions,
        int firstInternalPort,
        int lastInternalPort,
        List<String> seedAddresses,
        boolean firstStart,
        Path dataDirectory,
        String frontAddress,
        String readyAddress,
        String controlAddress,
        long heartbeatIntervalMs,
        Bounds bounds,
        int fileDescriptors,
        int toleratedMachines,
        boolean lossCounted) {

    /** The port on each core machine at which its registry takes links. */
    public int registryPort() {
        return firstInternalPort;
    }

    /** The port on each core machine at which its configuration store takes links. */
    public int storePort() {
        return firstInternalPort + 1;
    }

    /** The port on the machine of a shared cache at which it takes reads. */
    public int cachePort() {
        return firstInternalPort + 2;
    }

    /** The region of a zone; the zone's own name if it is not known. */
    public String regionOf(String ofZone) {
        return zoneRegions.getOrDefault(ofZone, ofZone);
    }

    /** The IP addresses of the seeds, in their order. */
    public List<String> seedHosts() {
        return seedAddresses.stream()
                .map(address -> address.substring(0, address.lastIndexOf(':')))
                .toList();
    }
}

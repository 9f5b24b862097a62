package ridgemill.cdn.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The contents of the settings file of a process.
 *
 * @param nodeName the machine's name
 * @param ipAddress the machine's address
 * @param zone the zone of the machine
 * @param zoneRegions the region of each zone
 * @param firstInternalPort the first of the ports for traffic between processes of the system
 * @param lastInternalPort the last of these ports
 * @param seedAddresses control addresses of core machines, as {@code IP:port}
 * @param firstStart whether this is the first start of the whole system
 * @param dataDirectory the data folder; null if the process has no disk
 * @param frontAddress where clients are served, as {@code IP:port}; null if they are not
 * @param readyAddress where readiness is reported, as {@code IP:port}; null if it is not
 * @param controlAddress where instances and operators are served, as {@code IP:port}; null if they are not
 * @param heartbeatIntervalMs how often instances send heartbeats, in milliseconds
 * @param bounds the bounds that the system has to keep
 * @param fileDescriptors the maximum number of open file descriptors of the process
 * @param toleratedMachines how many machines with {@code lossCounted} may be lost at once
 * @param lossCounted whether this machine counts towards {@code toleratedMachines}
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

    /** Returns the port at which the registry of each core machine accepts links. */
    public int registryPort() {
        return firstInternalPort;
    }

    /** Returns the port at which the configuration store of each core machine accepts links. */
    public int storePort() {
        return firstInternalPort + 1;
    }

    /** Returns the port at which a shared cache accepts reads. */
    public int cachePort() {
        return firstInternalPort + 2;
    }

    /** Returns the region of a zone; the name of the zone if its region is unknown. */
    public String regionOf(String zoneName) {
        return zoneRegions.getOrDefault(zoneName, zoneName);
    }

    /** Returns the IP addresses of the seeds, in order. */
    public List<String> seedHosts() {
        return seedAddresses.stream()
                .map(address -> address.substring(0, address.lastIndexOf(':')))
                .toList();
    }
}

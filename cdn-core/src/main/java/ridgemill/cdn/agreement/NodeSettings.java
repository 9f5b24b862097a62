package ridgemill.cdn.agreement;

import java.util.List;
import ridgemill.cdn.quorum.Voter;

/**
 * What a node is told at its start.
 *
 * @param self this store
 * @param incarnationId a random name of this life of the process, never used before
 * @param zone the zone of its machine
 * @param eligible whether its loss counts, so that it may vote
 * @param seeds the IP addresses that the settings name
 * @param toleratedLosses how many counted machines may be lost at once
 */
public record NodeSettings(
        Voter self, String incarnationId, String zone, boolean eligible, List<String> seeds, int toleratedLosses) {}

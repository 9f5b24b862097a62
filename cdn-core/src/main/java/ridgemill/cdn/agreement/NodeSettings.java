package ridgemill.cdn.agreement;

import java.util.List;
import ridgemill.cdn.quorum.Voter;

/**
 * The settings of an {@link AgreementNode}.
 *
 * @param self this store
 * @param incarnationId a random identifier of this run of the process, never used before
 * @param zone the zone of its machine
 * @param eligible whether it may vote: its machine counts among those whose loss is tolerated
 * @param seeds the IP addresses of the seeds in the settings
 * @param toleratedLosses how many of the counted machines may be lost at once
 */
public record NodeSettings(
        Voter self, String incarnationId, String zone, boolean eligible, List<String> seeds, int toleratedLosses) {}

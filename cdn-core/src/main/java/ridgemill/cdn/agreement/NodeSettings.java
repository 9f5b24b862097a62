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
 * @param founders the IP addresses of the stores that together form the first voter set; empty if this store's disk was
 *     not there when the whole system started for the first time, so that it may hold less than a lost one did
 * @param toleratedLosses how many of the counted machines may be lost at once
 */
public record NodeSettings(
        Voter self,
        String incarnationId,
        String zone,
        boolean eligible,
        List<String> seeds,
        List<String> founders,
        int toleratedLosses) {}

package ridgemill.cdn.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/**
 * Guards against a second cluster: a store that had lost its disk, with itself as its only seed, founded one of its own
 * and answered with an empty configuration.
 */
class FoundingTest {

    private static final Voter SELF = new Voter("10.0.0.1", "disk");
    private static final double OBSERVED_MS = 60_000;

    private static final AgreementEnvironment ENVIRONMENT = new AgreementEnvironment() {
        @Override
        public void send(String address, AgreementMessage message) {}

        @Override
        public void persist(AcceptorRecord record, Runnable durable) {
            durable.run();
        }

        @Override
        public void onDecided(List<Item> changed, VoterSet voters) {}

        @Override
        public double random() {
            return 0;
        }
    };

    /** Runs a store alone on an empty disk, and returns the voters that it has. */
    private static VoterSet votersOfALoneStore(List<String> founders) {
        List<String> seeds = List.of(SELF.address());
        NodeSettings settings = new NodeSettings(SELF, "life", "z", true, seeds, founders, 1);
        AgreementNode node =
                new AgreementNode(settings, ENVIRONMENT, new ClusterSimulation.UniquePlaceRules(Mutation.NONE));
        node.start(AcceptorRecord.EMPTY, 0);
        for (double nowMs = 0; nowMs < OBSERVED_MS; nowMs += AgreementNode.TICK_MS) {
            node.tick(nowMs);
        }
        return node.voters();
    }

    @Test
    void storeWhoseDiskWasNotThereAtTheFirstStartFoundsNoCluster() {
        assertThat(votersOfALoneStore(List.of())).isEqualTo(VoterSet.UNKNOWN);
    }

    @Test
    void storeFoundsNoClusterWithoutAllSeedsOfTheFirstStart() {
        assertThat(votersOfALoneStore(List.of(SELF.address(), "10.0.0.2", "10.0.0.3")))
                .isEqualTo(VoterSet.UNKNOWN);
    }

    @Test
    void onlySeedOfTheFirstStartFoundsACluster() {
        assertThat(votersOfALoneStore(List.of(SELF.address())).voters()).containsExactly(SELF);
    }
}

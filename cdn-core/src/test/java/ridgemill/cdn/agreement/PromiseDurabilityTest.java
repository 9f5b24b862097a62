package ridgemill.cdn.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/** A store keeps its promises over restarts. */
class PromiseDurabilityTest {

    private static final Voter SELF = new Voter("10.0.0.4", "new");
    private static final Voter PROPOSER = new Voter("10.0.0.1", "d");
    private static final List<String> SEEDS = List.of("10.0.0.1", "10.0.0.2", "10.0.0.3");

    private final List<AgreementMessage> sent = new ArrayList<>();
    private final SimulatedDisk disk = new SimulatedDisk(SELF.diskId(), SEEDS);

    private final AgreementEnvironment environment = new AgreementEnvironment() {
        @Override
        public void send(String address, AgreementMessage message) {
            sent.add(message);
        }

        @Override
        public void persist(AcceptorRecord record, Runnable durable) {
            disk.write(record, null, durable);
            disk.sync().run();
        }

        @Override
        public void onDecided(List<Item> changed, VoterSet voters) {}

        @Override
        public double random() {
            return 0;
        }
    };

    private AgreementNode startNode(String incarnationId) {
        NodeSettings settings = new NodeSettings(SELF, incarnationId, "z", true, SEEDS, SEEDS, 1);
        AgreementNode node =
                new AgreementNode(settings, environment, new ClusterSimulation.UniquePlaceRules(Mutation.NONE));
        node.start(disk.read(), 0);
        sent.clear();
        return node;
    }

    /** An added voter may receive a prepare request before it holds any state. */
    @Test
    void promiseGivenBeforeAnyStateIsHeldSurvivesRestart() {
        Ballot higher = new Ballot(5, "leader");
        Ballot lower = new Ballot(3, "late");
        startNode("first").receive(new AgreementMessage.Prepare(PROPOSER, higher), 0);
        assertThat(sent).containsExactly(new AgreementMessage.Promise(SELF, higher, StateId.NONE, VoterSet.UNKNOWN));
        startNode("second").receive(new AgreementMessage.Prepare(PROPOSER, lower), 0);
        assertThat(sent).containsExactly(new AgreementMessage.Refused(SELF, lower, higher));
    }
}

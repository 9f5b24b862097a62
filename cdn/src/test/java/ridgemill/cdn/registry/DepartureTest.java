package ridgemill.cdn.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.instances.InstanceState;
import ridgemill.cdn.wire.RegistryMessages;

/**
 * Guards against requests to an instance that has left: a departure that was acknowledged was forgotten when all
 * registries were killed, and a late heartbeat made the instance ready again.
 */
class DepartureTest {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int REGISTRIES = RegistryCluster.HOSTS.size();
    private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final RegistryCluster cluster = new RegistryCluster();

    @TempDir
    private Path folder;

    @BeforeEach
    void setDisks() {
        for (int index = 0; index < REGISTRIES; index++) {
            cluster.setDisk(index, new DepartureFolder(folder.resolve("core-" + index)));
        }
    }

    @AfterEach
    void stop() {
        cluster.close();
    }

    /** A disk that refuses every write. */
    private static final class FullDisk implements DepartureDisk {

        @Override
        public List<Instance> load() {
            return List.of();
        }

        @Override
        public void save(List<Instance> departed) throws IOException {
            throw new IOException("no space left on device");
        }
    }

    private void startAll() throws Exception {
        cluster.startAll();
        awaitLinks(REGISTRIES);
    }

    /** Waits until the first registries have links to a majority, because changes are acknowledged only then. */
    private void awaitLinks(int count) throws Exception {
        for (int index = 0; index < count; index++) {
            int sequence = 0;
            long endNanos = System.nanoTime() + WAIT_NANOS;
            while (cluster.heartbeat(index, "link-" + index, "ready", ++sequence) != OK) {
                assertThat(System.nanoTime()).as("time").isLessThan(endNanos);
            }
        }
    }

    /** Waits until a registry has the state of the instance "i"; it may learn it from another one. */
    private void awaitState(int index, InstanceState state) throws Exception {
        long endNanos = System.nanoTime() + WAIT_NANOS;
        for (int attempt = 0; stateAt(index, "p-" + index + "-" + attempt) != state; attempt++) {
            assertThat(System.nanoTime()).as("time until " + state).isLessThan(endNanos);
        }
    }

    private void killAll() {
        for (int index = 0; index < REGISTRIES; index++) {
            cluster.kill(index);
        }
    }

    private void restartAll() throws Exception {
        for (int index = 0; index < REGISTRIES; index++) {
            cluster.restart(index);
        }
        awaitLinks(REGISTRIES);
    }

    /** Reports that the instance "i" leaves, in one of the two ways, and returns the response status. */
    private int leave(int index, InstanceState state, long sequence) throws Exception {
        return state == InstanceState.GONE
                ? cluster.leave(index, "i")
                : cluster.heartbeat(index, "i", "draining", sequence);
    }

    /** The state of the instance "i" as a new subscriber learns it from a registry; null if it is unknown there. */
    private InstanceState stateAt(int index, String subscriber) throws Exception {
        RegistryMessages.Snapshot snapshot =
                cluster.proxy(index, subscriber, true).snapshot();
        return snapshot.overview().instances().stream()
                .filter(instance -> instance.id().equals("i"))
                .map(Instance::state)
                .findFirst()
                .orElse(null);
    }

    @ParameterizedTest
    @ValueSource(strings = {"DRAINING", "GONE"})
    void acknowledgedDepartureOutlivesAKillOfAllRegistries(InstanceState state) throws Exception {
        startAll();
        assertThat(cluster.heartbeat(0, "i", "ready", 1)).isEqualTo(OK);
        assertThat(leave(0, state, 3)).isEqualTo(OK);
        killAll();
        restartAll();
        assertThat(cluster.heartbeat(1, "i", "ready", 2)).as("late heartbeat").isEqualTo(OK);
        for (int index = 0; index < REGISTRIES; index++) {
            awaitState(index, state);
        }
    }

    /** One lost disk is tolerated, also that of the registry that gave the acknowledgement. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void departureOutlivesTheLossOfADisk(int lost) throws Exception {
        startAll();
        assertThat(cluster.heartbeat(0, "i", "ready", 1)).isEqualTo(OK);
        assertThat(cluster.leave(0, "i")).isEqualTo(OK);
        killAll();
        cluster.setDisk(lost, new DepartureFolder(folder.resolve("new-disk")));
        restartAll();
        for (int index = 0; index < REGISTRIES; index++) {
            awaitState(index, InstanceState.GONE);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"DRAINING", "GONE"})
    void departureIsNotAcknowledgedWithoutAMajorityOfDisks(InstanceState state) throws Exception {
        cluster.setDisk(1, new FullDisk());
        cluster.setDisk(2, new FullDisk());
        startAll();
        assertThat(cluster.heartbeat(0, "i", "ready", 1)).isEqualTo(OK);
        assertThat(leave(0, state, 2)).isEqualTo(UNAVAILABLE);
        assertThat(leave(0, state, 3)).as("reported again").isEqualTo(UNAVAILABLE);
        assertThat(leave(1, state, 4)).as("reported elsewhere").isEqualTo(UNAVAILABLE);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void departureIsAcknowledgedWithOneFullDisk(int full) throws Exception {
        cluster.setDisk(full, new FullDisk());
        startAll();
        assertThat(cluster.heartbeat(0, "i", "ready", 1)).isEqualTo(OK);
        // The link to the one whose disk works may not be open yet; the instance then reports again.
        long endNanos = System.nanoTime() + WAIT_NANOS;
        while (cluster.leave(0, "i") != OK) {
            assertThat(System.nanoTime()).as("time").isLessThan(endNanos);
        }
    }

    /** A report that changes nothing was acknowledged at once, although no other registry had the departure. */
    @ParameterizedTest
    @ValueSource(strings = {"DRAINING", "GONE"})
    void departureThatOneRegistryKnowsIsNotAcknowledgedWithoutAMajority(InstanceState state) throws Exception {
        startAll();
        assertThat(cluster.heartbeat(0, "i", "ready", 1)).isEqualTo(OK);
        assertThat(leave(0, state, 2)).isEqualTo(OK);
        killAll();
        cluster.restart(0);
        assertThat(stateAt(0, "p")).isEqualTo(state);
        assertThat(leave(0, state, 3)).isEqualTo(UNAVAILABLE);
        cluster.restart(1);
        awaitLinks(1);
        assertThat(leave(0, state, 4)).isEqualTo(OK);
    }
}

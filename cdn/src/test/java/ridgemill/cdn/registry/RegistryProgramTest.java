package ridgemill.cdn.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.instances.InstanceState;
import ridgemill.cdn.wire.RegistryMessages;

class RegistryProgramTest {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final long CONFIRM_TIMEOUT_MS = 600;

    private final RegistryCluster cluster = new RegistryCluster();

    @AfterEach
    void stop() {
        cluster.close();
    }

    @Test
    void aProxyReceivesMachinesVotersAndCompleteness() throws Exception {
        cluster.startAll();
        RegistryCluster.Proxy proxy = cluster.proxy(0, "p", true);
        RegistryMessages.Snapshot snapshot = proxy.snapshot();
        assertThat(snapshot.overview().registries()).isEqualTo(RegistryCluster.HOSTS);
        if (!snapshot.overview().voters().isKnown()) {
            proxy.awaitUpdate(update -> update.overview().voters().equals(RegistryCluster.VOTERS));
        } else {
            assertThat(snapshot.overview().voters()).isEqualTo(RegistryCluster.VOTERS);
        }
        assertThat(snapshot.overview().fleet().proxies().size()).isEqualTo(1);
        if (!snapshot.overview().complete()) {
            assertThat(proxy.awaitUpdate(update -> update.overview().complete()).number())
                    .isGreaterThan(snapshot.number());
        }
    }

    @Test
    void proxiesOfOtherRegistriesAreCounted() throws Exception {
        cluster.startAll();
        RegistryCluster.Proxy proxy = cluster.proxy(0, "p", true);
        cluster.proxy(1, "q", true);
        proxy.awaitUpdate(update -> update.overview().fleet().proxies().size() == 2);
    }

    @Test
    void aNewInstanceIsSentToProxiesOfAllRegistries() throws Exception {
        cluster.startAll();
        RegistryCluster.Proxy localProxy = cluster.proxy(0, "p", true);
        RegistryCluster.Proxy remoteProxy = cluster.proxy(1, "q", true);
        localProxy.snapshot();
        remoteProxy.snapshot();
        awaitLinks();
        assertThat(cluster.heartbeat(0, "i", "ready", 1)).isEqualTo(OK);
        for (RegistryCluster.Proxy proxy : List.of(localProxy, remoteProxy)) {
            Instance instance = findInstance(proxy.awaitUpdate(update -> findInstance(update) != null));
            assertThat(instance.state()).isEqualTo(InstanceState.READY);
            assertThat(instance.slots()).isEqualTo(4);
        }
        assertThat(cluster.proxy(2, "r", true).snapshot().overview().instances())
                .extracting(Instance::id)
                .contains("i");
    }

    /** Returns the instance with the identifier "i" from an update, or null. */
    private static Instance findInstance(RegistryMessages.Update update) {
        return update.overview().instances().stream()
                .filter(instance -> instance.id().equals("i"))
                .findFirst()
                .orElse(null);
    }

    @Test
    void stateChangesAreSentAndPlainHeartbeatsAreNot() throws Exception {
        cluster.startAll();
        RegistryCluster.Proxy proxy = cluster.proxy(0, "p", true);
        awaitLinks();
        cluster.heartbeat(0, "i", "ready", 1);
        proxy.awaitUpdate(update -> findInstance(update) != null);
        cluster.heartbeat(0, "i", "ready", 2);
        cluster.heartbeat(0, "i", "draining", 3);
        assertThat(findInstance(proxy.awaitUpdate(update -> findInstance(update) != null))
                        .state())
                .isEqualTo(InstanceState.DRAINING);
        assertThat(cluster.leave(0, "i")).isEqualTo(OK);
        assertThat(findInstance(proxy.awaitUpdate(update -> findInstance(update) != null))
                        .state())
                .isEqualTo(InstanceState.GONE);
    }

    @Test
    void aProxyThatDoesNotAcknowledgeDelaysTheResponseByABoundedTime() throws Exception {
        cluster.startAll();
        cluster.proxy(0, "p", false).snapshot();
        awaitLinks();
        long startNanos = System.nanoTime();
        assertThat(cluster.heartbeat(0, "i", "ready", 1)).isEqualTo(OK);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                .isBetween(CONFIRM_TIMEOUT_MS - 50, 5 * CONFIRM_TIMEOUT_MS);
    }

    /** A registry that got SIGTERM ended at once and left calls in progress without an answer. */
    @Test
    void aCallInProgressIsAnsweredBeforeTheRegistryEnds() throws Exception {
        cluster.startAll();
        cluster.proxy(0, "p", false).snapshot();
        awaitLinks();
        RegistryCluster.Proxy remoteProxy = cluster.proxy(1, "q", true);
        remoteProxy.snapshot();
        CompletableFuture<Integer> status = cluster.heartbeatAsync(0, "i", "ready", 1);
        remoteProxy.awaitUpdate(update -> findInstance(update) != null);
        assertThat(status).as("waits for the proxy's acknowledgement").isNotDone();
        CompletableFuture<Void> ended = cluster.drainAndKill(0);
        assertThat(status.get(5, TimeUnit.SECONDS)).isEqualTo(OK);
        ended.get(5, TimeUnit.SECONDS);
    }

    @Test
    void aChangeWithoutAMajorityIsNotAcknowledged() throws Exception {
        cluster.start(0, true);
        assertThat(cluster.heartbeat(0, "i", "ready", 1)).isEqualTo(UNAVAILABLE);
        assertThat(cluster.heartbeat(0, "i", "ready", 2))
                .as("a heartbeat while the change is not confirmed")
                .isEqualTo(UNAVAILABLE);
        cluster.start(1, true);
        awaitOk("i");
    }

    private void awaitOk(String id) throws Exception {
        int status = UNAVAILABLE;
        for (int sequence = 3; status != OK && sequence < 50; sequence++) {
            status = cluster.heartbeat(0, id, "ready", sequence);
            Thread.sleep(20);
        }
        assertThat(status).isEqualTo(OK);
    }

    @Test
    void anInstanceIsUnresponsiveUntilItsNextHeartbeat() throws Exception {
        cluster.startAll();
        RegistryCluster.Proxy proxy = cluster.proxy(0, "p", true);
        awaitLinks();
        cluster.heartbeat(0, "i", "ready", 1);
        proxy.awaitUpdate(update -> update.overview().unresponsive().contains("i"));
        cluster.heartbeat(0, "i", "ready", 2);
        proxy.awaitUpdate(update -> !update.overview().unresponsive().contains("i"));
    }

    @Test
    void aHeartbeatAtOneRegistryCountsAtAnother() throws Exception {
        cluster.startAll();
        RegistryCluster.Proxy proxy = cluster.proxy(1, "p", true);
        awaitLinks();
        for (int sequence = 1; sequence < 40; sequence++) {
            assertThat(cluster.heartbeat(0, "i", "ready", sequence)).isEqualTo(OK);
            Thread.sleep(RegistryCluster.HEARTBEAT_INTERVAL_MS / 5);
        }
        proxy.snapshot();
        assertThat(proxy.drainUpdates())
                .isNotEmpty()
                .noneMatch(update -> update.overview().unresponsive().contains("i"));
        proxy.awaitUpdate(update -> update.overview().unresponsive().contains("i"));
    }

    @Test
    void aRestartedRegistryLearnsTheVotersFromAPeer() throws Exception {
        cluster.start(2, false);
        RegistryCluster.Proxy proxy = cluster.proxy(2, "p", true);
        assertThat(proxy.snapshot().overview().voters().isKnown()).isFalse();
        cluster.start(0, true);
        proxy.awaitUpdate(update -> update.overview().voters().equals(RegistryCluster.VOTERS));
    }

    /** Waits until each registry has links to the others, because it can only then forward changes. */
    private void awaitLinks() throws Exception {
        for (int index = 0; index < RegistryCluster.HOSTS.size(); index++) {
            String id = "link-" + index;
            int status = 0;
            for (int sequence = 1; status != OK && sequence < 50; sequence++) {
                status = cluster.heartbeat(index, id, "ready", sequence);
                Thread.sleep(20);
            }
            assertThat(status).isEqualTo(OK);
        }
    }
}

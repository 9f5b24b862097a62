package ridgemill.cdn.instances;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class InstanceTableTest {

    private final InstanceTable table = new InstanceTable();

    private static Instance heartbeat(String id, String address, InstanceState state, long sequence) {
        return new Instance(id, "s", address, "z", "v1", 4, state, sequence, 0);
    }

    @Test
    void heartbeatWithoutChangeReportsNothing() {
        assertThat(table.merge(heartbeat("i", "a:1", InstanceState.READY, 1), 0))
                .hasSize(1);
        assertThat(table.merge(heartbeat("i", "a:1", InstanceState.READY, 2), 10))
                .isEmpty();
    }

    @Test
    void lateHeartbeatDoesNotRevertDraining() {
        table.merge(heartbeat("i", "a:1", InstanceState.READY, 1), 0);
        assertThat(table.merge(heartbeat("i", "a:1", InstanceState.DRAINING, 5), 10))
                .hasSize(1);
        assertThat(table.merge(heartbeat("i", "a:1", InstanceState.READY, 4), 20))
                .isEmpty();
        assertThat(table.get("i").state()).isEqualTo(InstanceState.DRAINING);
    }

    @Test
    void goneInstanceDoesNotReturn() {
        table.merge(heartbeat("i", "a:1", InstanceState.READY, 1), 0);
        assertThat(table.merge(table.get("i").asGone(), 10)).hasSize(1);
        assertThat(table.merge(heartbeat("i", "a:1", InstanceState.READY, 9), 20))
                .isEmpty();
        assertThat(table.get("i").state()).isEqualTo(InstanceState.GONE);
    }

    @Test
    void newInstanceAtAddressMarksPredecessorGone() {
        table.merge(heartbeat("old", "a:1", InstanceState.READY, 7), 0);
        List<Instance> changed = table.merge(heartbeat("new", "a:1", InstanceState.READY, 1), 10);
        assertThat(changed).extracting(Instance::id).containsExactly("old", "new");
        assertThat(table.get("old").state()).isEqualTo(InstanceState.GONE);
        assertThat(table.merge(heartbeat("old", "a:1", InstanceState.READY, 8), 20))
                .isEmpty();
    }

    @Test
    void unresponsiveTimeCountsFromLastHeartbeatOfAnyProcess() {
        table.merge(heartbeat("i", "a:1", InstanceState.READY, 1), 0);
        table.merge(heartbeat("j", "a:2", InstanceState.READY, 1), 0);
        table.recordHeartbeat("i", 2, 4000);
        table.recordHeartbeat("j", 1, 4000);
        assertThat(table.unresponsive(5000, 5500)).containsExactly("j");
    }

    @Test
    void goneInstancesAreRemovedAfterRetention() {
        table.merge(heartbeat("i", "a:1", InstanceState.GONE, 1), 0);
        table.removeExpired(InstanceTable.GONE_RETENTION_MS);
        assertThat(table.get("i")).isNotNull();
        table.removeExpired(InstanceTable.GONE_RETENTION_MS + 1);
        assertThat(table.get("i")).isNull();
    }
}

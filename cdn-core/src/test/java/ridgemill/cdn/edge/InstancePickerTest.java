package ridgemill.cdn.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ridgemill.cdn.edge.InstancePicker.Pick;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.instances.InstanceState;

class InstancePickerTest {

    private static final int SLOTS = 4;
    private static final double NOW = 100_000;

    private final InstancePicker picker = new InstancePicker();
    private final List<InstanceStats> all = new ArrayList<>();

    private InstanceStats add(String id, boolean local, long coldUntilMs) {
        Instance instance =
                new Instance(id, "s", "a:" + all.size(), "z", "v1", SLOTS, InstanceState.READY, 1, coldUntilMs);
        InstanceStats stats = new InstanceStats(instance);
        stats.update(instance, local, 100);
        all.add(stats);
        picker.instances(all);
        return stats;
    }

    private InstanceStats pick(double nowMs, long key, InstanceStats... tried) {
        return ((Pick.Chosen) picker.pick(nowMs, key, List.of(tried))).instance();
    }

    private static void fill(InstanceStats instance) {
        for (int i = 0; i < SLOTS + 1; i++) {
            assertThat(instance.hasCapacity(NOW)).isTrue();
            instance.requestStarted();
        }
    }

    /** Two requests to the instance time out. */
    private void fail(InstanceStats instance, double nowMs) {
        for (int i = 0; i < 2; i++) {
            instance.requestStarted();
            instance.requestEnded(nowMs, AttemptOutcome.SILENT, 100, false, true);
        }
    }

    /**
     * Shared caches keep each object in one cache: proxies that see other latencies or loads must pick the same one.
     */
    @Test
    void singleCandidatePickIgnoresLatencyAndLoad() {
        for (int i = 0; i < 4; i++) {
            add("i" + i, true, 0);
        }
        InstancePicker singleCandidate = InstancePicker.singleCandidate();
        singleCandidate.instances(all);
        List<InstanceStats> before = new ArrayList<>();
        for (long key = 0; key < 200; key++) {
            before.add(((Pick.Chosen) singleCandidate.pick(NOW, key, List.of())).instance());
        }
        all.get(0).requestStarted();
        all.get(0).requestEnded(NOW, AttemptOutcome.ANSWERED, 900, false, true);
        all.get(1).requestStarted();
        all.get(1).requestEnded(NOW, AttemptOutcome.ANSWERED, 2, false, true);
        all.get(2).requestStarted();
        for (long key = 0; key < 200; key++) {
            assertThat(((Pick.Chosen) singleCandidate.pick(NOW, key, List.of())).instance())
                    .isSameAs(before.get((int) key));
        }
        assertThat(before).contains(all.toArray(new InstanceStats[0]));
    }

    @Test
    void candidateWithFewerRequestsInFlightIsPicked() {
        for (int i = 0; i < 10; i++) {
            add("i" + i, true, 0);
        }
        for (long key = 0; key < 100; key++) {
            InstanceStats first = pick(NOW, key);
            assertThat(pick(NOW, key)).as("a tie goes to the first").isSameAs(first);
            first.requestStarted();
            InstanceStats second = pick(NOW, key);
            assertThat(second).isNotSameAs(first);
            second.requestStarted();
            second.requestStarted();
            assertThat(pick(NOW, key)).as("no third candidate, though idle").isSameAs(first);
            first.requestWithdrawn();
            second.requestWithdrawn();
            second.requestWithdrawn();
        }
    }

    @Test
    void reportedLoadBreaksTie() {
        add("a", true, 0);
        add("b", true, 0);
        InstanceStats first = pick(NOW, 7);
        first.loadReported(NOW, 3, 0, SLOTS);
        assertThat(pick(NOW, 7)).isNotSameAs(first);
        assertThat(pick(NOW + 300, 7)).as("the reported load is too old").isSameAs(first);
    }

    @Test
    void ownRegionIsPreferredWhileItHasCapacity() {
        InstanceStats first = add("a", true, 0);
        InstanceStats second = add("b", true, 0);
        add("c", false, 0);
        for (long key = 0; key < 50; key++) {
            assertThat(pick(NOW, key).isLocal()).isTrue();
        }
        fill(first);
        assertThat(pick(NOW, 1)).isSameAs(second);
        fail(second, NOW);
        assertThat(pick(NOW, 1).isLocal()).isFalse();
        assertThat(pick(NOW + 600, 1)).as("probed after the ejection").isSameAs(second);
    }

    @Test
    void failingInstanceIsEjectedThenProbedByOneRequest() {
        InstanceStats failing = add("a", true, 0);
        InstanceStats other = add("b", true, 0);
        add("c", true, 0);
        fail(failing, NOW);
        for (long key = 0; key < 50; key++) {
            assertThat(pick(NOW + 400, key)).isNotSameAs(failing);
        }
        assertThat(failing.isUsable(NOW + 600)).isTrue();
        failing.requestStarted();
        assertThat(failing.isUsable(NOW + 600)).as("only one probe at a time").isFalse();
        failing.requestEnded(NOW + 700, AttemptOutcome.ANSWERED, 100, false, true);
        failing.requestStarted();
        assertThat(failing.isUsable(NOW + 700)).as("recovered").isTrue();
        assertThat(other.isUsable(NOW)).isTrue();
    }

    @Test
    void ejectedInstanceIsPickedIfAllAreEjected() {
        fail(add("a", true, 0), NOW);
        assertThat(pick(NOW, 1)).isNotNull();
        fail(add("b", true, 0), NOW);
        assertThat(picker.mayEject(NOW)).isFalse();
    }

    @Test
    void atMostHalfOfInstancesMayBeEjected() {
        InstanceStats one = add("a", true, 0);
        InstanceStats two = add("b", true, 0);
        add("c", true, 0);
        add("d", true, 0);
        assertThat(picker.mayEject(NOW)).isTrue();
        fail(one, NOW);
        assertThat(picker.mayEject(NOW)).isTrue();
        fail(two, NOW);
        assertThat(picker.mayEject(NOW)).isFalse();
    }

    @Test
    void coldInstanceReceivesFewerKeys() {
        InstanceStats cold = add("cold", true, (long) NOW + 1_000);
        add("b", true, 0);
        add("c", true, 0);
        Map<InstanceStats, Integer> counts = new HashMap<>();
        for (long key = 0; key < 6_000; key++) {
            counts.merge(pick(NOW, key), 1, Integer::sum);
        }
        assertThat(counts.get(cold)).isBetween(600, 1_200);
        int warm = 0;
        for (long key = 0; key < 6_000; key++) {
            warm += pick(NOW + 1_000, key) == cold ? 1 : 0;
        }
        assertThat(warm).as("once warm").isBetween(1_800, 2_200);
    }

    @Test
    void fullInstanceIsSkippedAndAllFullIsSaturated() {
        InstanceStats full = add("a", true, 0);
        fill(full);
        assertThat(picker.pick(NOW, 1, List.of())).isInstanceOf(Pick.Saturated.class);
        InstanceStats other = add("b", true, 0);
        for (long key = 0; key < 20; key++) {
            assertThat(pick(NOW, key)).isSameAs(other);
        }
        other.loadReported(NOW, SLOTS, 1, SLOTS);
        assertThat(picker.pick(NOW, 1, List.of())).isInstanceOf(Pick.Saturated.class);
    }

    @Test
    void decliningInstanceCountsAsFullBriefly() {
        InstanceStats full = add("a", true, 0);
        full.requestStarted();
        full.requestEnded(NOW, AttemptOutcome.DECLINED, 1, false, true);
        assertThat(picker.pick(NOW + 10, 1, List.of())).isInstanceOf(Pick.Saturated.class);
        assertThat(pick(NOW + 100, 1)).isSameAs(full);
    }

    @Test
    void triedOrReplacedInstanceIsNotPicked() {
        InstanceStats tried = add("a", true, 0);
        InstanceStats gone = add("b", true, 0);
        for (long key = 0; key < 20; key++) {
            assertThat(pick(NOW, key, tried)).isSameAs(gone);
        }
        gone.requestStarted();
        gone.requestEnded(NOW, AttemptOutcome.MISDIRECTED, 1, false, true);
        assertThat(picker.pick(NOW + 4_900, 1, List.of(tried))).isInstanceOf(Pick.None.class);
        assertThat(pick(NOW + 5_100, 1, tried)).isSameAs(gone);
    }
}

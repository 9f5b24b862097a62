package ridgemill.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import ridgemill.membership.Member.State;

/** Sources that are late, stale, wrong or contradictory: which members result, and why. */
class MembershipTest {

    private static final MembershipPolicy POLICY = new MembershipPolicy(0.5, 120_000, 600_000, 30_000, 30_000, 3,
            60_000, 10_000);
    private final Membership membership = new Membership(POLICY);
    private double now = 1_000_000;

    private static Instance instance(String id, Status status, long changed) {
        return new Instance(id, "10.0.0." + id.length() + ":" + Math.abs(id.hashCode() % 60_000), status, "a", 1, 0,
                changed);
    }

    private static List<Instance> fleet(int from, int to) {
        return IntStream.range(from, to).mapToObj(i -> instance("n" + i, Status.UP, 1)).toList();
    }

    private State state(String id) {
        return membership.members().stream().filter(m -> m.id().equals(id)).map(Member::state).findFirst()
                .orElse(State.OUT);
    }

    private Member member(String id) {
        return membership.members().stream().filter(m -> m.id().equals(id)).findFirst().orElseThrow();
    }

    @Test
    void statusDeterminesTheState() {
        membership.applySnapshot(now, "eureka",
                List.of(instance("up", Status.UP, 1), instance("starting", Status.STARTING, 1),
                instance("down", Status.DOWN, 1), instance("out", Status.OUT_OF_SERVICE, 1),
                instance("unknown", Status.UNKNOWN, 1)));
        assertEquals(State.IN, state("up"));
        assertEquals(State.OUT, state("starting"));
        assertEquals(State.DRAINING, state("down"));
        assertEquals(State.DRAINING, state("out"));
        assertEquals(State.OUT, state("unknown"), "an instance that was never in is not added by it");
        membership.applyChanges(now + 1, "eureka", List.of(instance("up", Status.UNKNOWN, 2)), List.of());
        assertEquals(State.IN, state("up"), "and one that is in is not removed by it");
    }

    @Test
    void drainReportedByOneSourceIsADrain() {
        membership.applySnapshot(now, "platform", fleet(0, 4));
        List<Member> changes = membership.applySnapshot(now, "eureka",
                List.of(instance("n1", Status.OUT_OF_SERVICE, 5)));
        assertEquals(1, changes.size());
        assertEquals(State.DRAINING, state("n1"));
        assertEquals("eureka", member("n1").source());
        assertEquals("OUT_OF_SERVICE", member("n1").reason());
        assertEquals(now, member("n1").stateSinceMs());
        membership.applySnapshot(now + 10, "platform", fleet(0, 4));
        assertEquals(State.DRAINING, state("n1"), "whatever the other source repeats");
        membership.applySnapshot(now + 20, "eureka", List.of(instance("n1", Status.UP, 6)));
        assertEquals(State.IN, state("n1"));
    }

    @Test
    void unreadableSourceChangesNothing() {
        membership.applySnapshot(now, "eureka", fleet(0, 10));
        for (int minute = 0; minute < 20; minute++) {
            now += 60_000;
            membership.sourceFailed(now, "eureka", "connection refused");
            assertEquals(List.of(), membership.tick(now));
        }
        assertEquals(10, membership.members().size());
        String description = membership.describeSources(now).get("eureka");
        assertTrue(description.contains("stale") && description.contains("connection refused"), description);
    }

    @Test
    void massDisappearanceIsAcceptedOnlyAfterALongTime() {
        membership.applySnapshot(now, "eureka", fleet(0, 9));
        for (List<Instance> snapshot : List.of(List.<Instance>of(), fleet(0, 3), fleet(3, 6))) {
            now += 1000;
            membership.applySnapshot(now, "eureka", snapshot);
            assertEquals(9, membership.members().size(), snapshot.size() + " named");
        }
        assertTrue(member("n8").reason().contains("kept though it is named no more"));
        // A reported status is no disappearance and takes effect.
        membership.applySnapshot(now, "eureka", List.of(instance("n1", Status.OUT_OF_SERVICE, 7)));
        assertEquals(State.DRAINING, state("n1"));
        double startMs = now;
        while (now < startMs + POLICY.acceptLossAfterMs() - 10_000) {
            now += 1000;
            membership.applySnapshot(now, "eureka", fleet(0, 3));
            membership.tick(now);
        }
        assertEquals(State.IN, state("n8"));
        now += 20_000;
        membership.applySnapshot(now, "eureka", fleet(0, 3));
        membership.tick(now);
        assertEquals(3, membership.members().size(), "the loss is accepted after this time");
    }

    @Test
    void gradualDisappearanceStopsAtTheFloorToo() {
        membership.applySnapshot(now, "eureka", fleet(0, 20));
        for (int left = 19; left >= 0; left--) {
            now += 1000;
            membership.applySnapshot(now, "eureka", fleet(0, left));
        }
        assertTrue(membership.members().size() >= 10, membership.members().size() + " are left");
        // If it is slower than the window, the fleet is being scaled down.
        Membership slow = new Membership(POLICY);
        slow.applySnapshot(now, "eureka", fleet(0, 20));
        for (int left = 19; left >= 1; left--) {
            now += 130_000;
            slow.applySnapshot(now, "eureka", fleet(0, left));
        }
        assertEquals(1, slow.members().size());
    }

    @Test
    void singleRemovalTakesEffectAtOnce() {
        membership.applySnapshot(now, "eureka", fleet(0, 4));
        List<Member> changes = membership.applyChanges(now + 5, "eureka", List.of(), List.of("n2"));
        assertEquals(List.of("n2 OUT"), changes.stream().map(m -> m.id() + " " + m.state()).toList());
        assertEquals(List.of(), membership.applyChanges(now + 6, "eureka", List.of(), List.of("n2")),
                "a repeated removal changes nothing");
    }

    @Test
    void restartIsAnotherIncarnation() {
        Instance before = new Instance("n0", "10.0.0.1:80", Status.UP, "a", 1, 5000, 1);
        membership.applySnapshot(now, "eureka", List.of(before, instance("n1", Status.UP, 1)));
        List<Member> restarted = membership.applySnapshot(now + 10, "eureka",
                List.of(new Instance("n0", "10.0.0.1:80", Status.UP, "a", 1, 9000, 2), instance("n1", Status.UP, 1)));
        assertEquals(9000, restarted.get(0).startedAtMs());
        assertTrue(restarted.get(0).reason().contains("started anew"));
        List<Member> moved = membership.applySnapshot(now + 20, "eureka",
                List.of(new Instance("n0", "10.0.0.9:80", Status.UP, "a", 1, 0, 3), instance("n1", Status.UP, 1)));
        assertEquals(now + 20, moved.get(0).startedAtMs(), "at another address it is cold, whatever the record says");
        assertEquals(List.of(),
                membership.applySnapshot(now + 30, "eureka",
                        List.of(new Instance("n0", "10.0.0.9:80", Status.UP, "a", 1, 0, 3),
                        instance("n1", Status.UP, 1))), "and it stays the same incarnation");
    }

    @Test
    void olderRecordDoesNotReplaceANewerOneUnlessItsClockIsBehind() {
        membership.applySnapshot(now, "eureka",
                List.of(instance("n0", Status.OUT_OF_SERVICE, 100), instance("n1", Status.UP, 1)));
        membership.applySnapshot(now + 10, "eureka",
                List.of(instance("n0", Status.UP, 99), instance("n1", Status.UP, 1)));
        assertEquals(State.DRAINING, state("n0"), "from a replica that lags");
        membership.applyChanges(now + 20, "eureka", List.of(instance("n0", Status.UP, 99)), List.of());
        assertEquals(State.DRAINING, state("n0"));
        membership.applySnapshot(now + 10 + POLICY.clockSkewMs(), "eureka",
                List.of(instance("n0", Status.UP, 99), instance("n1", Status.UP, 1)));
        assertEquals(State.IN, state("n0"), "reported for so long, the instance's clock must have been set back");
    }

    @Test
    void addressBelongsToTheIdWithTheNewerRecord() {
        Instance old = new Instance("a", "10.0.0.1:80", Status.UP, "", 1, 0, 10);
        Instance next = new Instance("b", "10.0.0.1:80", Status.UP, "", 1, 0, 20);
        membership.applySnapshot(now, "eureka", List.of(old, instance("n1", Status.UP, 1)));
        membership.applySnapshot(now + 1, "eureka", List.of(old, next, instance("n1", Status.UP, 1)));
        assertEquals(State.IN, state("b"));
        assertEquals(State.OUT, state("a"));
    }

    @Test
    void flappingInstanceMustStayUpForAWhile() {
        membership.applySnapshot(now, "eureka", fleet(0, 4));
        long version = 2;
        for (int i = 0; i < 3; i++) {
            membership.applyChanges(now += 1000, "eureka", List.of(instance("n0", Status.DOWN, version++)), List.of());
            assertEquals(State.DRAINING, state("n0"), "it is drained at once");
            membership.applyChanges(now += 1000, "eureka", List.of(instance("n0", Status.UP, version++)), List.of());
            assertEquals(i < 2 ? State.IN : State.DRAINING, state("n0"), "time " + i);
        }
        assertTrue(member("n0").reason().contains("came and went too often"));
        membership.tick(now + POLICY.flapHoldMs() - 1);
        assertEquals(State.DRAINING, state("n0"));
        membership.tick(now + POLICY.flapHoldMs());
        assertEquals(State.IN, state("n0"));
    }

    @Test
    void newerOfTwoRecordsWithOneIdCounts() {
        membership.applySnapshot(now, "eureka", List.of(instance("n0", Status.DOWN, 9), instance("n0", Status.UP, 8)));
        assertEquals(State.DRAINING, state("n0"));
    }

    @Test
    void removedSourceHasNoEffect() {
        membership.applySnapshot(now, "file", fleet(0, 2));
        membership.applySnapshot(now, "eureka", fleet(1, 3));
        membership.removeSource(now + 1, "file");
        assertEquals(List.of("n1", "n2"), membership.members().stream().map(Member::id).toList());
    }

    /** Random reports from a seed: the returned changes add up to the members. */
    @Test
    void changesAddUpToTheMembers() {
        long seed = System.nanoTime();
        System.out.println("MembershipTest seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        Set<String> in = new HashSet<>();
        Status[] statuses = Status.values();
        for (int i = 0; i < 5000; i++) {
            now += random.nextInt(3000);
            String source = "s" + random.nextInt(3);
            List<Instance> reported = new ArrayList<>();
            for (int n = random.nextInt(8); n > 0; n--) {
                reported.add(instance("n" + random.nextInt(12), statuses[random.nextInt(statuses.length)],
                        random.nextInt(100)));
            }
            List<Member> changes = switch (random.nextInt(4)) {
                case 0 -> membership.applySnapshot(now, source, reported);
                case 1 -> membership.applyChanges(now, source, reported, List.of("n" + random.nextInt(12)));
                case 2 -> membership.tick(now);
                default -> {
                    membership.sourceFailed(now, source, "planned");
                    yield List.of();
                }
            };
            changes.forEach(m -> {
                if (m.state() == State.OUT) {
                    assertTrue(in.remove(m.id()), "seed " + seed);
                } else {
                    in.add(m.id());
                }
            });
            assertEquals(in, new HashSet<>(membership.members().stream().map(Member::id).toList()), "seed " + seed);
        }
    }

    /**
     * Of a thousand instances, three or four are replaced each second, about a fifth of them a minute; all are tracked.
     */
    @Test
    void thousandInstancesWithAFifthReplacedEachMinuteAreTracked() {
        SplittableRandom random = new SplittableRandom(3);
        Set<String> expected = new HashSet<>();
        List<Instance> first = fleet(0, 1000);
        first.forEach(i -> expected.add(i.id()));
        membership.applySnapshot(now, "eureka", first);
        int next = 1000;
        for (int second = 0; second < 180; second++) {
            now += 1000;
            List<String> gone = new ArrayList<>();
            List<Instance> added = new ArrayList<>();
            for (int i = 0; i < 3 + second % 2; i++) {
                List<String> all = new ArrayList<>(expected);
                String leaves = all.get(random.nextInt(all.size()));
                expected.remove(leaves);
                gone.add(leaves);
                Instance fresh = new Instance("m" + next, "10.1.0.1:" + next, Status.UP, "a", 1, 0, second + 2L);
                next++;
                expected.add(fresh.id());
                added.add(fresh);
            }
            membership.applyChanges(now, "eureka", added, gone);
            membership.tick(now);
            assertEquals(expected, new HashSet<>(membership.members().stream().map(Member::id).toList()), "second "
                    + second);
        }
        assertTrue(membership.members().stream().filter(m -> m.id().startsWith("m")).allMatch(m -> m.startedAtMs() > 0),
                "instances that were added later are cold");
    }
}

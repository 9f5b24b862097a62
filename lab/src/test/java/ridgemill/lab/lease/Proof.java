package ridgemill.lab.lease;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import ridgemill.lab.lease.Explorer.Budget;
import ridgemill.lab.lease.Explorer.Found;
import ridgemill.lab.lease.World.Choice.Kind;
import ridgemill.lab.lease.World.Setup;
import ridgemill.lease.LeasePolicy;
import ridgemill.lease.VoterSets;

/**
 * The plays by which the claim is tried, on whatever classes of the module it is loaded beside: {@link LeaseMutantsTest} loads it
 * beside mutants. Each play has a name, so that a failure can be played again.
 */
final class Proof implements Callable<String> {

    static final double LENGTH_MS = 100;
    static final double STEP_MS = 5;
    /** As much as a policy allows: the more two clocks differ, the more shows who does not reckon with it. */
    static final double DRIFT = LeasePolicy.MAX_DRIFT;
    private static final double SLOW = 1 - DRIFT;
    private static final double FAST = 1 + DRIFT;
    private static final LeasePolicy POLICY = new LeasePolicy(LENGTH_MS, DRIFT, 15, 10);
    private static final LeasePolicy COARSE = new LeasePolicy(LENGTH_MS, 0.05, 20, 15);

    private static VoterSets all(int members) {
        return new VoterSets(1, numbers(0, members), List.of(), members);
    }

    static List<Integer> numbers(int from, int to) {
        return IntStream.range(from, to).boxed().toList();
    }

    /** Three voters, two candidates, the clocks as they are given, steps of a part of a lease. */
    static Setup small(List<Double> rates, int stepsALease) {
        return new Setup(3, 2, COARSE, List.of(all(3)), rates, List.of(), LENGTH_MS / stepsALease);
    }

    /** The same with a fourth proxy, and electorates of which it takes the first one's place. */
    static Setup smallChanging(List<Double> rates, int stepsALease) {
        VoterSets first = new VoterSets(1, numbers(0, 3), List.of(), 3);
        return new Setup(4, 2, COARSE, List.of(first, new VoterSets(2, numbers(1, 4), first.pool(), 3)), rates, List.of(), LENGTH_MS / stepsALease);
    }

    /** So many voters that all want the lease. */
    static Setup walked(int members, List<Double> rates, List<Double> ahead) {
        return new Setup(members, members, POLICY, List.of(all(members)), rates, ahead, STEP_MS);
    }

    /** Electorates that change twice, by two members at a time, out of seven. */
    static Setup changing() {
        VoterSets first = new VoterSets(1, numbers(0, 3), List.of(), 3);
        VoterSets second = new VoterSets(2, numbers(2, 5), first.pool(), 3);
        VoterSets third = new VoterSets(3, numbers(4, 7), second.pool(), 3);
        return new Setup(7, 7, POLICY, List.of(first, second, third), List.of(SLOW, FAST, 1.0, FAST, FAST, SLOW), List.of(), STEP_MS);
    }

    /** Electorates that change twice, by one member at a time, out of five. */
    static Setup oneByOne() {
        VoterSets first = new VoterSets(1, numbers(0, 3), List.of(), 3);
        VoterSets second = new VoterSets(2, numbers(1, 4), first.pool(), 3);
        VoterSets third = new VoterSets(3, numbers(2, 5), second.pool(), 3);
        return new Setup(5, 5, POLICY, List.of(first, second, third), List.of(SLOW, FAST, 1.0, FAST, SLOW), List.of(), STEP_MS);
    }

    /** The walks of a kind: each seed is a play. */
    record Walks(String name, Setup setup, Budget budget) { }

    static List<Walks> walks() {
        Budget few = new Budget(8, 3, 2, 0, 160, 60, 0);
        Budget more = new Budget(10, 4, 3, 14, 240, 60, 0);
        return List.of(
                new Walks("three", walked(3, List.of(SLOW, FAST, FAST), List.of()), few),
                new Walks("three-ahead", walked(3, List.of(FAST, SLOW, FAST), List.of(2000.0)), more),
                new Walks("five", walked(5, List.of(SLOW, FAST, FAST, SLOW, 1.0), List.of()), few),
                new Walks("seven", walked(7, List.of(FAST, SLOW), List.of(2000.0)), few),
                new Walks("changing", changing(), more),
                new Walks("one-by-one", oneByOne(), more));
    }

    /** Walks of each kind in turn with this many seeds; what is broken first, shortened. */
    static Found tried(long firstSeed, int seeds, Map<Kind, Integer> faults) {
        long choices = 0;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            for (Walks w : walks()) {
                Found found = Explorer.walk(w.setup(), w.budget(), seed, faults);
                choices += found.choices();
                if (found.broken() != null) {
                    List<World.Choice> path = Explorer.shrink(w.setup(), found.path(), w.budget().messageAge());
                    return new Found(choices, choices, false, w.name() + " seed " + seed + ": " + found.broken(), path);
                }
            }
        }
        return new Found(choices, choices, false, null, null);
    }

    /** What a mutant is tried by; empty where it is not found. */
    @Override
    public String call() {
        Found found = tried(1, Integer.getInteger("lease.mutant.seeds", 1500), new EnumMap<>(Kind.class));
        return found.broken() == null ? "" : found.path().size() + " events of " + found.choices() + " choices: " + found.broken();
    }
}

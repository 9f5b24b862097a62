package ridgemill.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Who votes on a task: a few of the tier, by rendezvous, so that a lease costs the same however many proxies there are. All
 * proxies that go by the same version have the same electorates.
 *
 * @param version grows with each change of what follows; 1 or more
 * @param pool the members of which electorates are chosen, by their numbers
 * @param previousPool the pool of the version before, whose majorities count too until the change has settled; empty where there
 *     was none, or where operators say that nobody goes by it any more
 * @param votersPerTask how many vote on a task at most
 */
public record VoterSets(int version, List<Integer> pool, List<Integer> previousPool, int votersPerTask) {

    private static final long STEP = 0x9e3779b97f4a7c15L;

    public VoterSets {
        if (version < 1 || votersPerTask < 1 || pool.isEmpty()) {
            throw new IllegalArgumentException("version and size are 1 or more, and somebody must vote");
        }
        pool = pool.stream().sorted().distinct().toList();
        previousPool = previousPool.stream().sorted().distinct().toList();
    }

    /** Who votes on a task. */
    public List<Integer> voters(int task) {
        return chosen(task, pool);
    }

    /** Who voted on it under the version before; empty where there was none. */
    public List<Integer> previousVoters(int task) {
        return chosen(task, previousPool);
    }

    private List<Integer> chosen(int task, List<Integer> from) {
        List<Integer> all = new ArrayList<>(from);
        all.sort(Comparator.<Integer>comparingLong(m -> weight(task, m)).thenComparing(m -> m));
        return List.copyOf(all.subList(0, Math.min(votersPerTask, all.size())));
    }

    /** 16 bits of what they are: two of the same version and digest are the same, for all that mistakes can do. */
    public int digest() {
        long hash = votersPerTask;
        for (int member : pool) {
            hash = weight((int) hash ^ (int) (hash >>> Integer.SIZE), member);
        }
        for (int member : previousPool) {
            hash = weight((int) ~hash ^ (int) (hash >>> Integer.SIZE), member);
        }
        return (int) (hash >>> (Long.SIZE - Short.SIZE));
    }

    private static long weight(int task, int member) {
        long z = (((long) task << Integer.SIZE) | (member & 0xffffffffL)) + STEP;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    /** More than half of so many. */
    public static int majority(int size) {
        return size / 2 + 1;
    }
}

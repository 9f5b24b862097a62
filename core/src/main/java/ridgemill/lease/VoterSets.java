package ridgemill.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The members that vote on each task. A few members are chosen for each task by rendezvous hashing, so a lease costs
 * the same however many proxies there are. All proxies with the same version have the same voter sets.
 *
 * @param version grows with each change of the other components; 1 or more
 * @param pool numbers of the members from which voters are chosen
 * @param previousPool pool of the previous version, whose majorities also count until the change has settled; empty if
 *     there was none, or if the operators state that no proxy uses it any more
 * @param votersPerTask maximum number of voters of a task
 */
public record VoterSets(int version, List<Integer> pool, List<Integer> previousPool, int votersPerTask) {

    /** Increment of the SplitMix64 generator, whose mixing function {@link #weight} uses. */
    private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

    public VoterSets {
        if (version < 1 || votersPerTask < 1 || pool.isEmpty()) {
            throw new IllegalArgumentException("version and size are 1 or more, and somebody must vote");
        }
        pool = pool.stream().sorted().distinct().toList();
        previousPool = previousPool.stream().sorted().distinct().toList();
    }

    /** Returns the voters of a task, which is given by the hash of its name. */
    public List<Integer> voters(int task) {
        return select(task, pool);
    }

    /** Returns the voters of a task under the previous version; empty if there was none. */
    public List<Integer> previousVoters(int task) {
        return select(task, previousPool);
    }

    private List<Integer> select(int task, List<Integer> from) {
        List<Integer> all = new ArrayList<>(from);
        all.sort(Comparator.<Integer>comparingLong(m -> weight(task, m)).thenComparing(m -> m));
        return List.copyOf(all.subList(0, Math.min(votersPerTask, all.size())));
    }

    /** Returns a 16-bit digest of the contents, which tells differing contents of one version apart. */
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
        long z = (((long) task << Integer.SIZE) | (member & 0xffffffffL)) + GOLDEN_GAMMA;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    /** Returns the number of members that is a majority of {@code size} members. */
    public static int majority(int size) {
        return size / 2 + 1;
    }
}

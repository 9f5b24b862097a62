package ridgemill.cdn.registry;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemSet;
import ridgemill.cdn.keys.ClaimVote;
import ridgemill.cdn.purge.Purge;
import ridgemill.cdn.wire.CallFailure;
import ridgemill.cdn.wire.HeldLink;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.StoreMessages;

/**
 * Reads and writes the replicated state at the voting configuration stores. A write succeeds once a majority has it on
 * disk; a read asks all and merges the answers of a majority, so that it sees each write that succeeded before. Replicas
 * whose answer was older are sent what they lack.
 */
public final class StoreClient {

    private final long timeoutMs;
    private List<HeldLink> voters = List.of();

    /**
     * A client without voters, whose calls fail until {@link #setVoters} is called.
     *
     * @param timeoutMs how long a call waits for a majority, in milliseconds
     */
    public StoreClient(long timeoutMs) {
        this.timeoutMs = timeoutMs;
    }

    /** Sets the links to all voters. */
    public void setVoters(Collection<HeldLink> links) {
        voters = List.copyOf(links);
    }

    /** Whether the voters are known. */
    public boolean hasVoters() {
        return !voters.isEmpty();
    }

    /** Writes item versions. The callback is told whether a majority has them on disk. */
    public void writeItems(List<Item> items, Consumer<Boolean> callback) {
        writeToMajority(callId -> new StoreMessages.WriteItems(callId, items), callback);
    }

    /** Orders a purge. The callback is told whether a majority has passed it on. */
    public void purge(Purge purge, Consumer<Boolean> callback) {
        writeToMajority(callId -> new StoreMessages.WritePurge(callId, purge), callback);
    }

    private void writeToMajority(LongFunction<Message.Call> call, Consumer<Boolean> callback) {
        MajorityCount count = new MajorityCount(voters.size(), callback);
        for (HeldLink voter : voters) {
            voter.call(call, timeoutMs, result -> count.add(isDurable(result)));
        }
        count.failIfNobodyIsAsked();
    }

    private static boolean isDurable(Either<CallFailure, Message.Reply> result) {
        return result.isRight() && result.get() instanceof StoreMessages.Written written && written.durable();
    }

    /** Reads all items. The callback is told the merged set, or null if no majority answered. */
    public void readItems(Consumer<ItemSet> callback) {
        ItemSet merged = new ItemSet();
        List<HeldLink> answered = new ArrayList<>();
        List<Long> digests = new ArrayList<>();
        MajorityCount count = new MajorityCount(voters.size(), read -> {
            if (read) {
                repair(answered, digests, merged);
            }
            callback.accept(read ? merged : null);
        });
        for (HeldLink voter : voters) {
            voter.call(StoreMessages.ReadItems::new, timeoutMs, result -> {
                boolean complete =
                        result.isRight() && result.get() instanceof StoreMessages.ItemsRead read && read.complete();
                if (complete && !count.isDecided()) {
                    answered.add(voter);
                    digests.add(mergeReplica((StoreMessages.ItemsRead) result.get(), merged));
                }
                count.add(complete);
            });
        }
        count.failIfNobodyIsAsked();
    }

    private static long mergeReplica(StoreMessages.ItemsRead read, ItemSet merged) {
        ItemSet replica = new ItemSet();
        replica.mergeAll(read.items());
        merged.mergeAll(read.items());
        return replica.digest();
    }

    private void repair(List<HeldLink> answered, List<Long> digests, ItemSet merged) {
        long newest = merged.digest();
        List<Item> items = List.copyOf(merged.all());
        for (int i = 0; i < answered.size(); i++) {
            if (digests.get(i) != newest) {
                answered.get(i).call(callId -> new StoreMessages.WriteItems(callId, items), timeoutMs, ignored -> {});
            }
        }
    }

    /** Counts answers and tells once whether a majority succeeded. */
    private static final class MajorityCount {

        private final int voters;
        private final Consumer<Boolean> callback;
        private int succeeded;
        private int failed;
        private boolean decided;

        MajorityCount(int voters, Consumer<Boolean> callback) {
            this.voters = voters;
            this.callback = callback;
        }

        boolean isDecided() {
            return decided;
        }

        void add(boolean success) {
            if (success) {
                succeeded++;
            } else {
                failed++;
            }
            int majority = ClaimVote.majority(voters);
            if (succeeded >= majority) {
                decide(true);
            } else if (failed > voters - majority) {
                decide(false);
            }
        }

        void failIfNobodyIsAsked() {
            if (voters == 0) {
                decide(false);
            }
        }

        private void decide(boolean success) {
            if (!decided) {
                decided = true;
                callback.accept(success);
            }
        }
    }
}

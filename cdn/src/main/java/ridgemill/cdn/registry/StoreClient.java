package ridgemill.cdn.registry;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import ridgemill.cdn.agreement.ChangeResult;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.purge.Purge;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;
import ridgemill.cdn.wire.CallFailure;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.ReconnectingLink;
import ridgemill.cdn.wire.StoreMessages;

/**
 * Asks the voting configuration stores. Changes and reads go to the store that leads; where it can't be reached, another
 * one is asked to lead. An order may be sent to several: it is decided once. Purges go to all voters.
 */
public final class StoreClient {

    /** How long one store is waited for before the next one is asked, in milliseconds. */
    private static final long ATTEMPT_TIMEOUT_MS = 450;
    /** A store is not asked if less time than this is left, in milliseconds. */
    private static final long MIN_ATTEMPT_MS = 100;
    /** How much longer a change may take for each of its items, in milliseconds. */
    private static final long EXTRA_MS_PER_ITEM = 2;
    /** How long a call waits where nobody leads, in milliseconds. */
    private static final long NO_LEADER_RETRY_DELAY_MS = 80;
    /** How long a purge waits before it is sent again in a newer epoch, in milliseconds. */
    private static final long PURGE_RETRY_DELAY_MS = 60;

    private final EventLoop loop;
    private final long budgetMs;
    private final Map<String, ReconnectingLink> links = new HashMap<>();
    private VoterSet voters = VoterSet.UNKNOWN;
    private String leader = "";

    /**
     * A client without voters, whose calls fail until {@link #setVoters} is called.
     *
     * @param budgetMs how long a call takes at most, in milliseconds
     */
    public StoreClient(EventLoop loop, long budgetMs) {
        this.loop = loop;
        this.budgetMs = budgetMs;
    }

    /** Sets the voters and the links to them, by their IP addresses. */
    public void setVoters(VoterSet newest, Map<String, ReconnectingLink> newestLinks) {
        voters = newest;
        links.clear();
        links.putAll(newestLinks);
    }

    /** Orders a change. The callback is told what became of it. */
    public void change(List<Item> items, Consumer<ChangeResult> callback) {
        long patienceMs = EXTRA_MS_PER_ITEM * items.size();
        new Attempts<ChangeResult>(
                        patienceMs,
                        (callId, insist, leftMs) -> new StoreMessages.ChangeItems(callId, insist, leftMs, items),
                        StoreClient::resultOf,
                        result -> result,
                        answer -> callback.accept(answer == null ? ChangeResult.UNKNOWN : answer))
                .tryNext();
    }

    private static ChangeResult resultOf(Message.Reply reply) {
        return reply instanceof StoreMessages.ItemsChanged changed ? changed.result() : ChangeResult.UNKNOWN;
    }

    /** Reads the newest decided items. The callback is told null if no majority confirmed them in time. */
    public void read(Consumer<Collection<Item>> callback) {
        new Attempts<StoreMessages.ItemsRead>(
                        0,
                        StoreMessages.ReadItems::new,
                        reply -> (StoreMessages.ItemsRead) reply,
                        read -> new ChangeResult(read.outcome(), read.leaderAddress()),
                        read -> callback.accept(read == null ? null : read.items()))
                .tryNext();
    }

    /** Makes a call from its number, whether the store is to insist on leading, and how long the caller waits. */
    private interface CallMaker {

        Message.Call make(long callId, boolean insist, long leftMs);
    }

    /** One call, tried at one store after another until one of them knows the answer. */
    private final class Attempts<R> {

        private final long endNanos;
        private final long extraMs;
        private final CallMaker maker;
        private final Function<Message.Reply, R> reader;
        private final Function<R, ChangeResult> result;
        private final Consumer<R> callback;
        private final Set<String> asked = new HashSet<>();
        private boolean forceLeader;

        Attempts(
                long patienceMs,
                CallMaker maker,
                Function<Message.Reply, R> reader,
                Function<R, ChangeResult> result,
                Consumer<R> callback) {
            this.extraMs = patienceMs;
            this.endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(budgetMs + patienceMs);
            this.maker = maker;
            this.reader = reader;
            this.result = result;
            this.callback = callback;
        }

        void tryNext() {
            long leftMs = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
            String host = leftMs < MIN_ATTEMPT_MS ? null : nextHost();
            if (host == null) {
                callback.accept(null);
                return;
            }
            asked.add(host);
            long timeoutMs = Math.min(leftMs, ATTEMPT_TIMEOUT_MS + extraMs);
            boolean insists = forceLeader;
            links.get(host)
                    .call(callId -> maker.make(callId, insists, timeoutMs), timeoutMs, reply -> onReply(host, reply));
        }

        /** The store that leads, else a voter that can be reached; null if all were asked. */
        private String nextHost() {
            if (isOpen(leader) && !asked.contains(leader)) {
                return leader;
            }
            for (Voter voter : voters.members()) {
                if (isOpen(voter.address()) && !asked.contains(voter.address())) {
                    return voter.address();
                }
            }
            return null;
        }

        /** Nobody who leads can be reached at present: all may be asked again. */
        private void restart() {
            asked.clear();
            leader = "";
            forceLeader = true;
            tryNext();
        }

        private void onReply(String host, Either<CallFailure, Message.Reply> reply) {
            R answer = reply.isRight() ? reader.apply(reply.get()) : null;
            ChangeResult told = answer == null ? ChangeResult.UNKNOWN : result.apply(answer);
            switch (told.outcome()) {
                case CONFIRMED, CONFLICT, INVALID -> {
                    leader = host;
                    callback.accept(answer);
                }
                case NOT_LEADER -> {
                    leader = told.detail();
                    if (isOpen(leader) && !asked.contains(leader)) {
                        tryNext();
                    } else {
                        loop.schedule(this::restart, NO_LEADER_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
                    }
                }
                case UNKNOWN -> {
                    forceLeader = true;
                    tryNext();
                }
            }
        }
    }

    private boolean isOpen(String host) {
        ReconnectingLink link = links.get(host);
        return link != null && link.isOpen();
    }

    /** Orders a purge. The callback is told whether a majority of the voters has passed it on. */
    public void purge(Purge purge, Consumer<Boolean> callback) {
        purge(purge, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(budgetMs), callback);
    }

    private void purge(Purge purge, long endNanos, Consumer<Boolean> callback) {
        VoterSet asked = voters;
        long leftMs = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
        LongFunction<Message.Call> call = callId -> new StoreMessages.WritePurge(callId, asked.epoch(), purge);
        MajorityCount count = new MajorityCount(asked, passedOn -> {
            boolean again = !passedOn && leftMs > MIN_ATTEMPT_MS + PURGE_RETRY_DELAY_MS;
            if (again) {
                loop.schedule(() -> purge(purge, endNanos, callback), PURGE_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
            } else {
                callback.accept(passedOn);
            }
        });
        for (String address : asked.addresses()) {
            ReconnectingLink link = links.get(address);
            if (link == null) {
                count.failed(address);
            } else {
                link.call(call, Math.max(1, leftMs), reply -> count.onReply(address, reply));
            }
        }
        count.failIfNoVoters();
    }

    /** Counts the voters that have written something and tells once whether they are a majority. */
    private static final class MajorityCount {

        private final VoterSet voters;
        private final Consumer<Boolean> callback;
        private final Set<Voter> succeeded = new HashSet<>();
        private final Set<String> failed = new HashSet<>();
        private boolean decided;

        MajorityCount(VoterSet voters, Consumer<Boolean> callback) {
            this.voters = voters;
            this.callback = callback;
        }

        void onReply(String address, Either<CallFailure, Message.Reply> reply) {
            if (reply.isRight() && reply.get() instanceof StoreMessages.WriteResult written && written.durable()) {
                succeeded.add(written.store());
                if (voters.hasQuorum(succeeded::contains)) {
                    decide(true);
                }
            } else {
                failed(address);
            }
        }

        void failed(String address) {
            failed.add(address);
            if (!voters.hasQuorumOfAddresses(voter -> !failed.contains(voter))) {
                decide(false);
            }
        }

        void failIfNoVoters() {
            if (!voters.isKnown()) {
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

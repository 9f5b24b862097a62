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
 * A client of the voting configuration stores. Changes and reads go to the leader. If the leader is unreachable,
 * another store is asked to lead. A change may be sent to several stores; it is decided only once. Purges go to all
 * voters.
 */
public final class StoreClient {

    private static final System.Logger LOG = System.getLogger(StoreClient.class.getName());
    /** The timeout of an attempt at one store, after which the next store is asked, in milliseconds. */
    private static final long ATTEMPT_TIMEOUT_MS = 450;
    /** No attempt is started if less time than this remains, in milliseconds. */
    private static final long MIN_ATTEMPT_MS = 100;
    /** The additional time that a change may take for each of its items, in milliseconds. */
    private static final long EXTRA_MS_PER_ITEM = 2;
    /** The delay before a call is retried when there is no reachable leader, in milliseconds. */
    private static final long NO_LEADER_RETRY_DELAY_MS = 80;
    /** The delay before a purge is sent again, with the newest epoch, in milliseconds. */
    private static final long PURGE_RETRY_DELAY_MS = 60;

    private final EventLoop loop;
    private final long budgetMs;
    private final Map<String, ReconnectingLink> links = new HashMap<>();
    private VoterSet voters = VoterSet.UNKNOWN;
    private String leader = "";

    /**
     * Creates a client without voters. Calls fail until {@link #setVoters} is called.
     *
     * @param budgetMs the timeout of a call, in milliseconds
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

    /** Requests a change. The callback receives its result. */
    public void change(List<Item> items, Consumer<ChangeResult> callback) {
        long extraMs = EXTRA_MS_PER_ITEM * items.size();
        new Attempts<ChangeResult>(
                        extraMs,
                        (callId, forceLeader, leftMs) ->
                                new StoreMessages.ChangeItems(callId, forceLeader, leftMs, items),
                        StoreClient::resultOf,
                        result -> result,
                        response -> callback.accept(response == null ? ChangeResult.UNKNOWN : response))
                .tryNext();
    }

    private static ChangeResult resultOf(Message.Reply reply) {
        return reply instanceof StoreMessages.ItemsChanged changed ? changed.result() : ChangeResult.UNKNOWN;
    }

    /** Reads the newest decided items. The callback receives null if no majority confirmed them in time. */
    public void read(Consumer<Collection<Item>> callback) {
        new Attempts<StoreMessages.ItemsRead>(
                        0,
                        StoreMessages.ReadItems::new,
                        reply -> (StoreMessages.ItemsRead) reply,
                        read -> new ChangeResult(read.outcome(), read.leaderAddress()),
                        read -> callback.accept(read == null ? null : read.items()))
                .tryNext();
    }

    /**
     * Creates a call from its number, whether the store is to take over the leadership, and how long the caller waits.
     */
    private interface CallMaker {

        Message.Call make(long callId, boolean forceLeader, long leftMs);
    }

    /** One call, tried at one store after another until one of them gives a definite result. */
    private final class Attempts<R> {

        private final long endNanos;
        private final long extraMs;
        private final CallMaker maker;
        private final Function<Message.Reply, R> reader;
        private final Function<R, ChangeResult> result;
        private final Consumer<R> callback;
        private final Set<String> attemptedHosts = new HashSet<>();
        private boolean forceLeader;

        Attempts(
                long extraMs,
                CallMaker maker,
                Function<Message.Reply, R> reader,
                Function<R, ChangeResult> result,
                Consumer<R> callback) {
            this.extraMs = extraMs;
            this.endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(budgetMs + extraMs);
            this.maker = maker;
            this.reader = reader;
            this.result = result;
            this.callback = callback;
        }

        void tryNext() {
            long leftMs = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
            String host = leftMs < MIN_ATTEMPT_MS ? null : selectHost();
            if (host == null) {
                callback.accept(null);
                return;
            }
            attemptedHosts.add(host);
            long timeoutMs = Math.min(leftMs, ATTEMPT_TIMEOUT_MS + extraMs);
            boolean force = forceLeader;
            links.get(host)
                    .call(callId -> maker.make(callId, force, timeoutMs), timeoutMs, reply -> onReply(host, reply));
        }

        /** Returns the leader, else a reachable voter; null if all were asked. */
        private String selectHost() {
            if (isOpen(leader) && !attemptedHosts.contains(leader)) {
                return leader;
            }
            for (Voter voter : voters.members()) {
                if (isOpen(voter.address()) && !attemptedHosts.contains(voter.address())) {
                    return voter.address();
                }
            }
            return null;
        }

        /** Starts over with all stores, because no leader is reachable. */
        private void restart() {
            attemptedHosts.clear();
            leader = "";
            forceLeader = true;
            tryNext();
        }

        private void onReply(String host, Either<CallFailure, Message.Reply> reply) {
            R response = reply.isRight() ? reader.apply(reply.get()) : null;
            ChangeResult changeResult = response == null ? ChangeResult.UNKNOWN : result.apply(response);
            switch (changeResult.outcome()) {
                case CONFIRMED, CONFLICT, INVALID -> {
                    leader = host;
                    callback.accept(response);
                }
                case NOT_LEADER -> {
                    leader = changeResult.detail();
                    if (isOpen(leader) && !attemptedHosts.contains(leader)) {
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

    /** Requests a purge. The callback receives whether a majority of the voters has forwarded it. */
    public void purge(Purge purge, Consumer<Boolean> callback) {
        long timeoutMs = Math.min(budgetMs, Purge.ACKNOWLEDGEMENT_TIMEOUT_MS);
        purge(purge, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs), callback);
    }

    private void purge(Purge purge, long endNanos, Consumer<Boolean> callback) {
        VoterSet targetVoters = voters;
        long leftMs = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
        LongFunction<Message.Call> call = callId -> new StoreMessages.WritePurge(callId, targetVoters.epoch(), purge);
        PurgeVotes count = new PurgeVotes(purge, targetVoters, endNanos, forwarded -> {
            boolean retry = !forwarded && leftMs > MIN_ATTEMPT_MS + PURGE_RETRY_DELAY_MS;
            if (retry) {
                loop.schedule(() -> purge(purge, endNanos, callback), PURGE_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
            } else {
                callback.accept(forwarded);
            }
        });
        for (String address : targetVoters.addresses()) {
            ReconnectingLink link = links.get(address);
            if (link == null) {
                count.failed(address);
            } else {
                link.call(call, Math.max(1, leftMs), reply -> count.onReply(address, reply));
            }
        }
        count.failIfNoVoters();
    }

    /** Counts the voters that have published a purge and reports once whether they are a majority. */
    private static final class PurgeVotes {

        private final Purge purge;
        private final VoterSet voters;
        private final long endNanos;
        private final Consumer<Boolean> callback;
        private final Map<Voter, StoreMessages.PurgePublished> published = new HashMap<>();
        private final Set<String> failed = new HashSet<>();
        private boolean decided;

        /**
         * Counts no votes yet.
         *
         * @param endNanos until when votes count; a process that was paused may read them later
         */
        PurgeVotes(Purge purge, VoterSet voters, long endNanos, Consumer<Boolean> callback) {
            this.purge = purge;
            this.endNanos = endNanos;
            this.voters = voters;
            this.callback = callback;
        }

        void onReply(String address, Either<CallFailure, Message.Reply> reply) {
            if (reply.isRight() && reply.get() instanceof StoreMessages.PurgePublished vote && vote.counts()) {
                published.put(vote.store(), vote);
                if (voters.hasQuorum(published::containsKey)) {
                    decide(System.nanoTime() - endNanos <= 0);
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
                log(success);
                callback.accept(success);
            }
        }

        private void log(boolean success) {
            if (!LOG.isLoggable(System.Logger.Level.DEBUG)) {
                return;
            }
            StringBuilder votes = new StringBuilder();
            published
                    .values()
                    .forEach(vote -> votes.append(' ')
                            .append(vote.store())
                            .append('@')
                            .append(vote.incarnationId())
                            .append('#')
                            .append(vote.number()));
            LOG.log(
                    System.Logger.Level.DEBUG,
                    "event=purge_acknowledged acknowledged=" + success + " purge=" + purge.id() + " target="
                            + purge.target() + " epoch=" + voters.epoch() + " published_by=[" + votes + "]");
        }
    }
}

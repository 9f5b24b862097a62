package ridgemill.cdn.wire;

import java.io.IOException;
import java.util.List;
import ridgemill.cdn.agreement.AgreementMessage;
import ridgemill.cdn.agreement.ChangeResult;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.keys.KeyRecord;
import ridgemill.cdn.keys.KeyState;
import ridgemill.cdn.purge.Purge;
import ridgemill.cdn.purge.RecentPurge;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/** Messages to and from the configuration store. */
public final class StoreMessages {

    private StoreMessages() {}

    /**
     * Subscribes the sender to the configuration and to purges: a snapshot or the missed updates, and all later
     * updates.
     *
     * @param incarnationId the last known incarnation of the store; empty if there was none
     * @param number the last update number that was received from that incarnation
     */
    public record Subscribe(String incarnationId, long number) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.STORE_SUBSCRIBE;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.text(incarnationId).number(number);
        }

        static Subscribe read(FieldReader in) throws IOException {
            return new Subscribe(in.text(), in.number());
        }
    }

    /**
     * All items and the recent purges. Later updates continue from its number.
     *
     * @param incarnationId the incarnation of the store
     * @param number the number of the last update that the snapshot contains
     * @param store the sending store
     * @param voters the voters of the newest decided state
     * @param votersAgeMs how long ago the store had learned that these voters are decided, in milliseconds
     * @param items all decided items, including tombstones
     * @param purgesCompleteForMs the span before this message whose purges are all included, in milliseconds
     * @param purges the purges that this incarnation published in that span, the oldest one first
     */
    public record Snapshot(
            String incarnationId,
            long number,
            Voter store,
            VoterSet voters,
            long votersAgeMs,
            List<Item> items,
            long purgesCompleteForMs,
            List<RecentPurge> purges)
            implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.STORE_SNAPSHOT;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.text(incarnationId).number(number);
            AgreementCodec.writeVoter(store, out);
            AgreementCodec.writeVoterSet(voters, out);
            out.number(votersAgeMs)
                    .list(items, ValueCodec::writeItem)
                    .number(purgesCompleteForMs)
                    .list(purges, ValueCodec::writeRecentPurge);
        }

        static Snapshot read(FieldReader in) throws IOException {
            return new Snapshot(
                    in.text(),
                    in.number(),
                    AgreementCodec.readVoter(in),
                    AgreementCodec.readVoterSet(in),
                    in.number(),
                    in.list(ValueCodec::readItem),
                    in.number(),
                    in.list(ValueCodec::readRecentPurge));
        }
    }

    /**
     * Asks a store to confirm that the sender has received all purges published so far. The reply is
     * {@link PurgesConfirmed}; a store that has sent this link no snapshot does not reply.
     *
     * @param sentAtMs the time on the sender's clock, in milliseconds
     */
    public record ConfirmPurges(double sentAtMs) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.CONFIRM_PURGES;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.real(sentAtMs);
        }

        static ConfirmPurges read(FieldReader in) throws IOException {
            return new ConfirmPurges(in.real());
        }
    }

    /**
     * Confirms that all purges which the store had published when it received {@link ConfirmPurges} were sent before
     * this message.
     *
     * @param sentAtMs the time in that message
     * @param number the number of the last update sent
     * @param epoch the epoch in which the store counts purges; 0 if it has accepted another one that is not known to be
     *     decided
     */
    public record PurgesConfirmed(double sentAtMs, long number, long epoch) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.PURGES_CONFIRMED;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.real(sentAtMs).number(number).number(epoch);
        }

        static PurgesConfirmed read(FieldReader in) throws IOException {
            return new PurgesConfirmed(in.real(), in.number(), in.number());
        }
    }

    /**
     * A numbered update. Numbers are consecutive.
     *
     * @param number the number of this update
     * @param voters the voters of the newest decided state
     * @param items decided items that are newer than before
     * @param purges purges to apply
     */
    public record Update(long number, VoterSet voters, List<Item> items, List<Purge> purges) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.STORE_NEWS;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(number);
            AgreementCodec.writeVoterSet(voters, out);
            out.list(items, ValueCodec::writeItem).list(purges, ValueCodec::writePurge);
        }

        static Update read(FieldReader in) throws IOException {
            return new Update(
                    in.number(),
                    AgreementCodec.readVoterSet(in),
                    in.list(ValueCodec::readItem),
                    in.list(ValueCodec::readPurge));
        }
    }

    /**
     * Reports that the subscriber has applied all updates up to a number.
     *
     * @param number the number of the last applied update
     */
    public record UpdateAcknowledged(long number) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.STORE_NEWS_ACKNOWLEDGED;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(number);
        }

        static UpdateAcknowledged read(FieldReader in) throws IOException {
            return new UpdateAcknowledged(in.number());
        }
    }

    /** Subscribes the sender to the voter set: {@link CurrentVoters} is sent immediately and again with each change. */
    public record WatchVoters() implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.FOLLOW_VOTERS;
        }

        @Override
        public void write(FieldWriter out) {}

        static WatchVoters read(FieldReader in) {
            return new WatchVoters();
        }
    }

    /**
     * The current voters.
     *
     * @param voters the voters of the newest decided state
     */
    public record CurrentVoters(VoterSet voters) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.VOTERS_NOW;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            AgreementCodec.writeVoterSet(voters, out);
        }

        static CurrentVoters read(FieldReader in) throws IOException {
            return new CurrentVoters(AgreementCodec.readVoterSet(in));
        }
    }

    /**
     * A message of the agreement between stores.
     *
     * @param content the message
     */
    public record Agreement(AgreementMessage content) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.AGREEMENT;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            AgreementCodec.write(content, out);
        }

        static Agreement read(FieldReader in) throws IOException {
            return new Agreement(AgreementCodec.read(in));
        }
    }

    /**
     * Requests a change of the configuration. The reply is {@link ItemsChanged}.
     *
     * @param callId the number of the call
     * @param forceLeader whether the store is to become the leader although another store leads, because the caller
     *     could not reach that store
     * @param budgetMs how long the caller waits for the reply, in milliseconds
     * @param items the item versions to set or remove, applied atomically
     */
    public record ChangeItems(long callId, boolean forceLeader, long budgetMs, List<Item> items)
            implements Message.Call {

        @Override
        public MessageKind kind() {
            return MessageKind.CHANGE_ITEMS;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId).flag(forceLeader).number(budgetMs).list(items, ValueCodec::writeItem);
        }

        static ChangeItems read(FieldReader in) throws IOException {
            return new ChangeItems(in.number(), in.flag(), in.number(), in.list(ValueCodec::readItem));
        }
    }

    /**
     * The reply to {@link ChangeItems}.
     *
     * @param callId the number of the call
     * @param result the result of the change
     */
    public record ItemsChanged(long callId, ChangeResult result) implements Message.Reply {

        @Override
        public MessageKind kind() {
            return MessageKind.ITEMS_CHANGED;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId).number(result.outcome().ordinal()).text(result.detail());
        }

        static ItemsChanged read(FieldReader in) throws IOException {
            return new ItemsChanged(
                    in.number(), new ChangeResult(in.enumValue(ChangeResult.Outcome.values()), in.text()));
        }
    }

    /**
     * The reply to a write.
     *
     * @param callId the number of the call
     * @param store the replying store
     * @param durable whether the write is on disk; if false, it may still reach the disk later
     */
    public record WriteResult(long callId, Voter store, boolean durable) implements Message.Reply {

        @Override
        public MessageKind kind() {
            return MessageKind.WRITTEN;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId);
            AgreementCodec.writeVoter(store, out);
            out.flag(durable);
        }

        static WriteResult read(FieldReader in) throws IOException {
            return new WriteResult(in.number(), AgreementCodec.readVoter(in), in.flag());
        }
    }

    /**
     * Requests the newest decided items. The reply is {@link ItemsRead}.
     *
     * @param callId the number of the call
     * @param forceLeader see {@link ChangeItems}
     * @param budgetMs how long the caller waits for the reply, in milliseconds
     */
    public record ReadItems(long callId, boolean forceLeader, long budgetMs) implements Message.Call {

        @Override
        public MessageKind kind() {
            return MessageKind.READ_ITEMS;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId).flag(forceLeader).number(budgetMs);
        }

        static ReadItems read(FieldReader in) throws IOException {
            return new ReadItems(in.number(), in.flag(), in.number());
        }
    }

    /**
     * The reply to {@link ReadItems}.
     *
     * @param callId the number of the call
     * @param outcome confirmed if a majority confirmed the items after the call was received
     * @param leaderAddress the IP address of the leader if it is another store; else empty
     * @param items all items, including tombstones
     */
    public record ItemsRead(long callId, ChangeResult.Outcome outcome, String leaderAddress, List<Item> items)
            implements Message.Reply {

        @Override
        public MessageKind kind() {
            return MessageKind.ITEMS_READ;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId).number(outcome.ordinal()).text(leaderAddress).list(items, ValueCodec::writeItem);
        }

        static ItemsRead read(FieldReader in) throws IOException {
            return new ItemsRead(
                    in.number(), in.enumValue(ChangeResult.Outcome.values()), in.text(), in.list(ValueCodec::readItem));
        }
    }

    /**
     * Requests a purge. The reply is {@link PurgePublished}, sent once the purge has been sent to all subscribers.
     *
     * @param callId the number of the call
     * @param epoch the epoch of the voters that the caller addresses; the reply of a store in another epoch does not
     *     count
     * @param purge the purge
     */
    public record WritePurge(long callId, long epoch, Purge purge) implements Message.Call {

        @Override
        public MessageKind kind() {
            return MessageKind.WRITE_PURGE;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId).number(epoch);
            ValueCodec.writePurge(purge, out);
        }

        static WritePurge read(FieldReader in) throws IOException {
            return new WritePurge(in.number(), in.number(), ValueCodec.readPurge(in));
        }
    }

    /**
     * The reply to {@link WritePurge}.
     *
     * @param callId the number of the call
     * @param store the replying store
     * @param counts whether the store is a voter in the epoch that the call addressed
     * @param incarnationId the incarnation of the store
     * @param number the number of the update with which it published the purge
     */
    public record PurgePublished(long callId, Voter store, boolean counts, String incarnationId, long number)
            implements Message.Reply {

        @Override
        public MessageKind kind() {
            return MessageKind.PURGE_PUBLISHED;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId);
            AgreementCodec.writeVoter(store, out);
            out.flag(counts).text(incarnationId).number(number);
        }

        static PurgePublished read(FieldReader in) throws IOException {
            return new PurgePublished(in.number(), AgreementCodec.readVoter(in), in.flag(), in.text(), in.number());
        }
    }

    /**
     * Requests a vote to run an operation. The reply is {@link KeyStatus}.
     *
     * @param callId the number of the call
     * @param epoch the epoch of the voters that the claim addresses; a store in another epoch grants nothing
     * @param key the operation key, scoped by its host
     * @param claimId the random identifier of this claim
     */
    public record ClaimKey(long callId, long epoch, String key, String claimId) implements Message.Call {

        @Override
        public MessageKind kind() {
            return MessageKind.CLAIM_KEY;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId).number(epoch).text(key).text(claimId);
        }

        static ClaimKey read(FieldReader in) throws IOException {
            return new ClaimKey(in.number(), in.number(), in.text(), in.text());
        }
    }

    /**
     * The reply to {@link ClaimKey}. The vote is granted if the state is HELD by the claim of the request.
     *
     * @param callId the number of the call
     * @param availability whether this voter may vote; if not, the following fields have no meaning
     * @param state the state of the operation
     * @param claimId the claim that the state refers to
     * @param answer the recorded response of a finished operation, else null
     */
    public record KeyStatus(long callId, Availability availability, KeyState state, String claimId, byte[] answer)
            implements Message.Reply {

        /** Whether a voter may vote. */
        public enum Availability {
            /** The store votes. */
            VOTES,
            /** The store currently does not vote. */
            UNAVAILABLE,
            /** The store is in another epoch than the claim. */
            OTHER_EPOCH
        }

        @Override
        public MessageKind kind() {
            return MessageKind.KEY_STATUS;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId)
                    .number(availability.ordinal())
                    .number(state.ordinal())
                    .text(claimId)
                    .bytes(answer);
        }

        static KeyStatus read(FieldReader in) throws IOException {
            return new KeyStatus(
                    in.number(),
                    in.enumValue(Availability.values()),
                    in.enumValue(KeyState.values()),
                    in.text(),
                    in.bytes());
        }
    }

    /**
     * Records the response of an operation. The reply is {@link WriteResult}.
     *
     * @param callId the number of the call
     * @param key the operation key
     * @param claimId the claim under which it ran
     * @param answer the response
     */
    public record FinishKey(long callId, String key, String claimId, byte[] answer) implements Message.Call {

        @Override
        public MessageKind kind() {
            return MessageKind.FINISH_KEY;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId).text(key).text(claimId).bytes(answer);
        }

        static FinishKey read(FieldReader in) throws IOException {
            return new FinishKey(in.number(), in.text(), in.text(), in.bytes());
        }
    }

    /**
     * Releases a claim under which nothing ran. The reply is {@link WriteResult}.
     *
     * @param callId the number of the call
     * @param key the operation key
     * @param claimId the released claim
     */
    public record ReleaseKey(long callId, String key, String claimId) implements Message.Call {

        @Override
        public MessageKind kind() {
            return MessageKind.RELEASE_KEY;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId).text(key).text(claimId);
        }

        static ReleaseKey read(FieldReader in) throws IOException {
            return new ReleaseKey(in.number(), in.text(), in.text());
        }
    }

    /**
     * Requests a page of the operation keys of a voter, for a store that is about to become a voter. The reply is
     * {@link KeysPage}.
     *
     * @param callId the number of the call
     * @param afterKey the last key of the previous page; empty for the first page
     */
    public record PullKeys(long callId, String afterKey) implements Message.Call {

        @Override
        public MessageKind kind() {
            return MessageKind.PULL_KEYS;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId).text(afterKey);
        }

        static PullKeys read(FieldReader in) throws IOException {
            return new PullKeys(in.number(), in.text());
        }
    }

    /**
     * The reply to {@link PullKeys}.
     *
     * @param callId the number of the call
     * @param store the replying store
     * @param epoch the epoch of the newest voter set that the store knows to be decided; it no longer grants keys in
     *     earlier epochs
     * @param records a page of key records in order of their keys
     * @param lastPage whether no more key records follow
     */
    public record KeysPage(long callId, Voter store, long epoch, List<KeyRecord> records, boolean lastPage)
            implements Message.Reply {

        @Override
        public MessageKind kind() {
            return MessageKind.KEYS_PAGE;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId);
            AgreementCodec.writeVoter(store, out);
            out.number(epoch).list(records, ValueCodec::writeKeyRecord).flag(lastPage);
        }

        static KeysPage read(FieldReader in) throws IOException {
            return new KeysPage(
                    in.number(),
                    AgreementCodec.readVoter(in),
                    in.number(),
                    in.list(ValueCodec::readKeyRecord),
                    in.flag());
        }
    }
}

package ridgemill.cdn.wire;

import java.io.IOException;
import java.util.List;
import ridgemill.cdn.agreement.AgreementMessage;
import ridgemill.cdn.agreement.ChangeResult;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.keys.KeyRecord;
import ridgemill.cdn.keys.KeyState;
import ridgemill.cdn.purge.Purge;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/** Messages to and from the configuration store. */
public final class StoreMessages {

    private StoreMessages() {}

    /**
     * Asks for the configuration and purges, now and from now on.
     *
     * @param incarnationId the life of the store that was heard last; empty if none was
     * @param number the last number that was taken in that life
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
     * All items; the numbered changes after it continue from its number. Purges before it are not told.
     *
     * @param incarnationId the life of the store
     * @param number the number of the last change that the snapshot holds
     * @param store the store that speaks
     * @param voters the voters of the newest decided state
     * @param items all decided items, drops included
     */
    public record Snapshot(String incarnationId, long number, Voter store, VoterSet voters, List<Item> items)
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
            out.list(items, ValueCodec::writeItem);
        }

        static Snapshot read(FieldReader in) throws IOException {
            return new Snapshot(
                    in.text(),
                    in.number(),
                    AgreementCodec.readVoter(in),
                    AgreementCodec.readVoterSet(in),
                    in.list(ValueCodec::readItem));
        }
    }

    /**
     * A numbered change; numbers follow one another without a gap.
     *
     * @param number the number of this change
     * @param voters the voters of the newest decided state
     * @param items decided items that are newer than before
     * @param purges purges to carry out
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
     * The subscriber has carried out all changes up to a number.
     *
     * @param number the last number that was carried out
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

    /** Asks to be told who votes, now and from now on; answered by {@link CurrentVoters}, again with each change. */
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
     * Who votes.
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
     * @param content what it says
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
     * Orders a change of the configuration; answered by {@link ItemsChanged}.
     *
     * @param callId the number of the call
     * @param forceLeader whether the store is to lead although another one does, as that one could not be reached
     * @param budgetMs how long the caller waits, in milliseconds
     * @param items the versions to set or drop, all or none
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
     * Answers {@link ChangeItems}.
     *
     * @param callId the number of the call
     * @param result what became of the order
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
     * Answers a write.
     *
     * @param callId the number of the call
     * @param store the store that answers
     * @param durable whether what was sent is on disk; if not, it may be later
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
     * Asks for the newest decided items; answered by {@link ItemsRead}.
     *
     * @param callId the number of the call
     * @param forceLeader as with {@link ChangeItems}
     * @param budgetMs how long the caller waits, in milliseconds
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
     * Answers {@link ReadItems}.
     *
     * @param callId the number of the call
     * @param outcome confirmed if a majority confirmed the items after the call came
     * @param leaderAddress the IP address of the store that leads if another one does; else empty
     * @param items all items, drops included
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
     * Orders a purge; answered by {@link WriteResult} once it has been passed on to all subscribers.
     *
     * @param callId the number of the call
     * @param epoch the epoch of the voters that the caller asks; one that is in another epoch does not count
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
     * Asks for a vote to run an operation; answered by {@link KeyStatus}.
     *
     * @param callId the number of the call
     * @param epoch the epoch of the voters that the claim asks; in another epoch nothing is granted
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
     * Answers {@link ClaimKey}. A vote is granted if the state is HELD by the claim that asked.
     *
     * @param callId the number of the call
     * @param availability whether this voter may vote; if not, the fields after it mean nothing
     * @param state how far the operation is
     * @param claimId the claim that the state is about
     * @param answer the recorded answer of a finished operation, else null
     */
    public record KeyStatus(long callId, Availability availability, KeyState state, String claimId, byte[] answer)
            implements Message.Reply {

        /** Whether a voter may vote. */
        public enum Availability {
            /** It votes. */
            VOTES,
            /** It does not vote at present. */
            UNAVAILABLE,
            /** It is in another epoch than the claim. */
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
     * Records the answer of an operation; answered by {@link WriteResult}.
     *
     * @param callId the number of the call
     * @param key the operation key
     * @param claimId the claim under which it ran
     * @param answer the answer
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
     * Gives a claim back under which nothing ran; answered by {@link WriteResult}.
     *
     * @param callId the number of the call
     * @param key the operation key
     * @param claimId the claim that is given back
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
     * A store that is to vote asks for the operation keys of one that votes, page by page; answered by {@link KeysPage}.
     *
     * @param callId the number of the call
     * @param afterKey the last key of the page before; empty for the first page
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
     * Answers {@link PullKeys}.
     *
     * @param callId the number of the call
     * @param store the store that answers
     * @param epoch the epoch of the newest voters that it knows to be decided; it grants nothing in earlier ones any more
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

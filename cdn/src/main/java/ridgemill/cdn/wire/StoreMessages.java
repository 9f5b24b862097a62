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
     * @param lifeId the life of the store that was heard last; empty if none was
     * @param number the last number that was taken in that life
     */
    public record Subscribe(String lifeId, long number) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.STORE_SUBSCRIBE;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.text(lifeId).number(number);
        }

        static Subscribe read(FieldReader in) throws IOException {
            return new Subscribe(in.text(), in.number());
        }
    }

    /**
     * All items; the numbered changes after it continue from its number. Purges before it are not told.
     *
     * @param lifeId the life of the store
     * @param number the number of the last change that the snapshot holds
     * @param store the store that speaks
     * @param voters the voters of the newest decided state
     * @param items all decided items, drops included
     */
    public record Snapshot(String lifeId, long number, Voter store, VoterSet voters, List<Item> items)
            implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.STORE_SNAPSHOT;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.text(lifeId).number(number);
            AgreementCodec.writeVoter(store, out);
            AgreementCodec.writeVoterSet(voters, out);
            out.list(items, Fields::writeItem);
        }

        static Snapshot read(FieldReader in) throws IOException {
            return new Snapshot(
                    in.text(),
                    in.number(),
                    AgreementCodec.readVoter(in),
                    AgreementCodec.readVoterSet(in),
                    in.list(Fields::readItem));
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
    public record News(long number, VoterSet voters, List<Item> items, List<Purge> purges) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.STORE_NEWS;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(number);
            AgreementCodec.writeVoterSet(voters, out);
            out.list(items, Fields::writeItem).list(purges, Fields::writePurge);
        }

        static News read(FieldReader in) throws IOException {
            return new News(
                    in.number(),
                    AgreementCodec.readVoterSet(in),
                    in.list(Fields::readItem),
                    in.list(Fields::readPurge));
        }
    }

    /**
     * The subscriber has carried out all changes up to a number.
     *
     * @param number the last number that was carried out
     */
    public record NewsAcknowledged(long number) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.STORE_NEWS_ACKNOWLEDGED;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(number);
        }

        static NewsAcknowledged read(FieldReader in) throws IOException {
            return new NewsAcknowledged(in.number());
        }
    }

    /** Asks to be told who votes, now and from now on; answered by {@link VotersNow}, again with each change. */
    public record FollowVoters() implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.FOLLOW_VOTERS;
        }

        @Override
        public void write(FieldWriter out) {}

        static FollowVoters read(FieldReader in) {
            return new FollowVoters();
        }
    }

    /**
     * Who votes.
     *
     * @param voters the voters of the newest decided state
     */
    public record VotersNow(VoterSet voters) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.VOTERS_NOW;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            AgreementCodec.writeVoterSet(voters, out);
        }

        static VotersNow read(FieldReader in) throws IOException {
            return new VotersNow(AgreementCodec.readVoterSet(in));
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
     * @param insist whether the store is to lead although another one does, as that one could not be reached
     * @param budgetMs how long the caller waits, in milliseconds
     * @param items the versions to set or drop, all or none
     */
    public record ChangeItems(long callId, boolean insist, long budgetMs, List<Item> items) implements Message.Call {

        @Override
        public MessageKind kind() {
            return MessageKind.CHANGE_ITEMS;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId).flag(insist).number(budgetMs).list(items, Fields::writeItem);
        }

        static ChangeItems read(FieldReader in) throws IOException {
            return new ChangeItems(in.number(), in.flag(), in.number(), in.list(Fields::readItem));
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
            return new ItemsChanged(in.number(), new ChangeResult(in.oneOf(ChangeResult.Outcome.values()), in.text()));
        }
    }

    /**
     * Answers a write.
     *
     * @param callId the number of the call
     * @param store the store that answers
     * @param durable whether what was sent is on disk; if not, it may be later
     */
    public record Written(long callId, Voter store, boolean durable) implements Message.Reply {

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

        static Written read(FieldReader in) throws IOException {
            return new Written(in.number(), AgreementCodec.readVoter(in), in.flag());
        }
    }

    /**
     * Asks for the newest decided items; answered by {@link ItemsRead}.
     *
     * @param callId the number of the call
     * @param insist as with {@link ChangeItems}
     * @param budgetMs how long the caller waits, in milliseconds
     */
    public record ReadItems(long callId, boolean insist, long budgetMs) implements Message.Call {

        @Override
        public MessageKind kind() {
            return MessageKind.READ_ITEMS;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId).flag(insist).number(budgetMs);
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
     * @param leader the IP address of the store that leads if another one does; else empty
     * @param items all items, drops included
     */
    public record ItemsRead(long callId, ChangeResult.Outcome outcome, String leader, List<Item> items)
            implements Message.Reply {

        @Override
        public MessageKind kind() {
            return MessageKind.ITEMS_READ;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId).number(outcome.ordinal()).text(leader).list(items, Fields::writeItem);
        }

        static ItemsRead read(FieldReader in) throws IOException {
            return new ItemsRead(
                    in.number(), in.oneOf(ChangeResult.Outcome.values()), in.text(), in.list(Fields::readItem));
        }
    }

    /**
     * Orders a purge; answered by {@link Written} once it has been passed on to all subscribers.
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
            Fields.writePurge(purge, out);
        }

        static WritePurge read(FieldReader in) throws IOException {
            return new WritePurge(in.number(), in.number(), Fields.readPurge(in));
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
                    in.number(), in.oneOf(Availability.values()), in.oneOf(KeyState.values()), in.text(), in.bytes());
        }
    }

    /**
     * Records the answer of an operation; answered by {@link Written}.
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
     * Gives a claim back under which nothing ran; answered by {@link Written}.
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
            out.number(epoch).list(records, Fields::writeKeyRecord).flag(lastPage);
        }

        static KeysPage read(FieldReader in) throws IOException {
            return new KeysPage(
                    in.number(), AgreementCodec.readVoter(in), in.number(), in.list(Fields::readKeyRecord), in.flag());
        }
    }
}

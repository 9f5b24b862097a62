package ridgemill.cdn.wire;

import java.io.IOException;
import java.util.List;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.keys.KeyRecord;
import ridgemill.cdn.keys.KeyState;
import ridgemill.cdn.purge.Purge;

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
     * @param voters the IP addresses of the voters
     * @param items all items, drops included
     */
    public record Snapshot(String lifeId, long number, List<String> voters, List<Item> items) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.STORE_SNAPSHOT;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.text(lifeId).number(number).texts(voters).list(items, Fields::writeItem);
        }

        static Snapshot read(FieldReader in) throws IOException {
            return new Snapshot(in.text(), in.number(), in.texts(), in.list(Fields::readItem));
        }
    }

    /**
     * A numbered change; numbers follow one another without a gap.
     *
     * @param number the number of this change
     * @param items items that are newer than before
     * @param purges purges to carry out
     */
    public record News(long number, List<Item> items, List<Purge> purges) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.STORE_NEWS;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(number).list(items, Fields::writeItem).list(purges, Fields::writePurge);
        }

        static News read(FieldReader in) throws IOException {
            return new News(in.number(), in.list(Fields::readItem), in.list(Fields::readPurge));
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

    /**
     * Stores item versions; answered by {@link Written} once they are on disk.
     *
     * @param callId the number of the call
     * @param items the versions to merge
     */
    public record WriteItems(long callId, List<Item> items) implements Message.Call {

        @Override
        public MessageKind kind() {
            return MessageKind.WRITE_ITEMS;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId).list(items, Fields::writeItem);
        }

        static WriteItems read(FieldReader in) throws IOException {
            return new WriteItems(in.number(), in.list(Fields::readItem));
        }
    }

    /**
     * Answers a write.
     *
     * @param callId the number of the call
     * @param durable whether what was sent is on disk; if not, it may be later
     */
    public record Written(long callId, boolean durable) implements Message.Reply {

        @Override
        public MessageKind kind() {
            return MessageKind.WRITTEN;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId).flag(durable);
        }

        static Written read(FieldReader in) throws IOException {
            return new Written(in.number(), in.flag());
        }
    }

    /**
     * Asks for all items; answered by {@link ItemsRead}.
     *
     * @param callId the number of the call
     */
    public record ReadItems(long callId) implements Message.Call {

        @Override
        public MessageKind kind() {
            return MessageKind.READ_ITEMS;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId);
        }

        static ReadItems read(FieldReader in) throws IOException {
            return new ReadItems(in.number());
        }
    }

    /**
     * Answers {@link ReadItems}.
     *
     * @param callId the number of the call
     * @param complete whether the replica holds all that it ever acknowledged; a replica that is recovering does not
     * @param items all items, drops included
     */
    public record ItemsRead(long callId, boolean complete, List<Item> items) implements Message.Reply {

        @Override
        public MessageKind kind() {
            return MessageKind.ITEMS_READ;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId).flag(complete).list(items, Fields::writeItem);
        }

        static ItemsRead read(FieldReader in) throws IOException {
            return new ItemsRead(in.number(), in.flag(), in.list(Fields::readItem));
        }
    }

    /**
     * Orders a purge; answered by {@link Written} once it has been passed on to all subscribers.
     *
     * @param callId the number of the call
     * @param purge the purge
     */
    public record WritePurge(long callId, Purge purge) implements Message.Call {

        @Override
        public MessageKind kind() {
            return MessageKind.WRITE_PURGE;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId);
            Fields.writePurge(purge, out);
        }

        static WritePurge read(FieldReader in) throws IOException {
            return new WritePurge(in.number(), Fields.readPurge(in));
        }
    }

    /**
     * Asks for a vote to run an operation; answered by {@link KeyStatus}.
     *
     * @param callId the number of the call
     * @param key the operation key, scoped by its host
     * @param claimId the random identifier of this claim
     */
    public record ClaimKey(long callId, String key, String claimId) implements Message.Call {

        @Override
        public MessageKind kind() {
            return MessageKind.CLAIM_KEY;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId).text(key).text(claimId);
        }

        static ClaimKey read(FieldReader in) throws IOException {
            return new ClaimKey(in.number(), in.text(), in.text());
        }
    }

    /**
     * Answers {@link ClaimKey}. A vote is granted if the state is HELD by the claim that asked.
     *
     * @param callId the number of the call
     * @param available whether this voter may vote; if not, the other fields mean nothing
     * @param state how far the operation is
     * @param claimId the claim that the state is about
     * @param answer the recorded answer of a finished operation, else null
     */
    public record KeyStatus(long callId, boolean available, KeyState state, String claimId, byte[] answer)
            implements Message.Reply {

        @Override
        public MessageKind kind() {
            return MessageKind.KEY_STATUS;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId)
                    .flag(available)
                    .number(state.ordinal())
                    .text(claimId)
                    .bytes(answer);
        }

        static KeyStatus read(FieldReader in) throws IOException {
            return new KeyStatus(in.number(), in.flag(), in.oneOf(KeyState.values()), in.text(), in.bytes());
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
     * A replica asks another for its state, page by page; answered by {@link StatePage}.
     *
     * @param callId the number of the call
     * @param itemsDigest the digest of the items that the caller holds; equal ones are not sent
     * @param withKeys whether key records are wanted
     * @param afterKey the last key of the page before; empty for the first page
     */
    public record PullState(long callId, long itemsDigest, boolean withKeys, String afterKey) implements Message.Call {

        @Override
        public MessageKind kind() {
            return MessageKind.PULL_STATE;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId).number(itemsDigest).flag(withKeys).text(afterKey);
        }

        static PullState read(FieldReader in) throws IOException {
            return new PullState(in.number(), in.number(), in.flag(), in.text());
        }
    }

    /**
     * Answers {@link PullState}.
     *
     * @param callId the number of the call
     * @param complete whether the answering replica holds all that it ever acknowledged
     * @param voters the IP addresses of the voters; empty if it does not know them
     * @param items all items if the digests differ and this is the first page
     * @param records a page of key records in order of their keys
     * @param lastPage whether no more key records follow
     */
    public record StatePage(
            long callId,
            boolean complete,
            List<String> voters,
            List<Item> items,
            List<KeyRecord> records,
            boolean lastPage)
            implements Message.Reply {

        @Override
        public MessageKind kind() {
            return MessageKind.STATE_PAGE;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId)
                    .flag(complete)
                    .texts(voters)
                    .list(items, Fields::writeItem)
                    .list(records, Fields::writeKeyRecord)
                    .flag(lastPage);
        }

        static StatePage read(FieldReader in) throws IOException {
            return new StatePage(
                    in.number(),
                    in.flag(),
                    in.texts(),
                    in.list(Fields::readItem),
                    in.list(Fields::readKeyRecord),
                    in.flag());
        }
    }
}

package ridgemill.rollout;

import java.util.List;
import ridgemill.rollout.FileFingerprint.FileVersion;
import ridgemill.rollout.Plan.Action;

/** Messages between proxies about rollouts. */
public sealed interface RolloutMessage {

    /**
     * How far a rollout has got. Of two, the one under the higher term is later; under one term, the one with the
     * higher sequence.
     *
     * @param term term of the coordinator's lease
     * @param sequence grows with each order of a term
     * @param action direction of the whole rollout
     * @param step 0 while the texts are staged, then the number of the step
     * @param finished whether the rollout has ended
     */
    record Progress(Plan plan, long term, int sequence, Action action, int step, boolean finished) {

        /** Returns whether this is later than another progress; true if there is no other. */
        boolean isLaterThan(Progress other) {
            return other == null || term != other.term ? other == null || term > other.term : sequence > other.sequence;
        }
    }

    /** The holder of the lease under this term requests reports from the members. */
    record ReportRequest(long term) implements RolloutMessage { }

    /**
     * The state of a member.
     *
     * @param timestamp time by the member's clock, to be echoed by the order that answers the report
     * @param incarnation number of its process
     * @param version its version in effect
     * @param progress progress of the rollout as far as it knows; null if it knows of none
     * @param staged whether it has both texts and has validated them
     * @param rejection why it rejects one of the texts; null if it does not
     * @param outOfService whether it is out of service
     * @param served requests served since its start, among those that have ended
     * @param ended requests that have ended since its start, except those whose client disconnected
     */
    record Report(int timestamp, int incarnation, FileVersion version, Progress progress, boolean staged,
            String rejection, boolean outOfService, int served, int ended) implements RolloutMessage {

        /** Returns whether the member knows of this plan. */
        boolean knows(Plan plan) {
            return progress != null && progress.plan().equals(plan);
        }
    }

    /** What a member is to do now, in answer to its report with this timestamp. */
    record Order(int echoedTimestamp, int incarnation, Progress progress, Action action) implements RolloutMessage { }

    /**
     * Requests chunks of a text.
     *
     * @param hashHigh identifies the text, see {@link FileFingerprint#hashHigh}
     * @param indexes indexes of the chunks
     */
    record ChunkRequest(long hashHigh, List<Integer> indexes) implements RolloutMessage {

        public ChunkRequest {
            indexes = List.copyOf(indexes);
        }
    }

    /** One chunk of a text. */
    record Chunk(long hashHigh, int index, byte[] bytes) implements RolloutMessage {

        public Chunk {
            bytes = bytes.clone();
        }

        @Override
        public byte[] bytes() {
            return bytes.clone();
        }
    }

    /**
     * Asks for the fingerprint of the receiver's version in effect, if no rollout is in progress and its number is
     * above this.
     */
    record VersionQuery(int number) implements RolloutMessage { }

    /** The fingerprint of the sender's version in effect, of which no rollout is in progress. */
    record VersionReply(FileFingerprint fingerprint) implements RolloutMessage { }
}

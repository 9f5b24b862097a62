package ridgemill.rollout;

import java.util.List;
import ridgemill.rollout.FileFingerprint.FileVersion;
import ridgemill.rollout.Plan.Action;

/** What proxies tell each other of rolls. */
public sealed interface RolloutMessage {

    /** How far a roll is: {@code step} 0 stages, the last is over; of two, the one under the later term is later, and of one term the higher number. */
    record Progress(Plan plan, long term, int sequence, Action action, int step, boolean finished) {

        /** Whether it says more than another. */
        boolean isLaterThan(Progress o) {
            return o == null || term != o.term ? o == null || term > o.term : sequence > o.sequence;
        }
    }

    /** Whoever holds the lease under this term wants to be told how all are. */
    record ReportRequest(long term) implements RolloutMessage { }

    /**
     * How a member is.
     *
     * @param timestamp of its own time, to be given back with the order that answers it
     * @param incarnation of its process
     * @param version what it acts under
     * @param progress how far it knows the roll to be; null where it knows of none
     * @param staged whether it has both texts and has checked them
     * @param rejection why it does not take one of them; null where it does
     * @param outOfService whether it has stepped aside
     * @param served requests that were served since its start, of those that have ended
     * @param ended requests that have ended since its start, but for those whose client left
     */
    record Report(int timestamp, int incarnation, FileVersion version, Progress progress, boolean staged, String rejection, boolean outOfService, int served, int ended) implements RolloutMessage {

        /** Whether it knows of this plan. */
        boolean knows(Plan plan) {
            return progress != null && progress.plan().equals(plan);
        }
    }

    /** What one member is to do now, in answer to its report with this mark. */
    record Order(int echoedTimestamp, int incarnation, Progress progress, Action action) implements RolloutMessage { }

    /**
     * Asks for pieces of a text.
     *
     * @param hashHigh of its stamp
     * @param indexes of the pieces
     */
    record ChunkRequest(long hashHigh, List<Integer> indexes) implements RolloutMessage {

        public ChunkRequest {
            indexes = List.copyOf(indexes);
        }
    }

    /** One piece of a text. */
    record Chunk(long hashHigh, int index, byte[] bytes) implements RolloutMessage {

        public Chunk {
            bytes = bytes.clone();
        }

        @Override
        public byte[] bytes() {
            return bytes.clone();
        }
    }

    /** Asks for the stamp of what the asked one acts under, if that is over and under this number. */
    record VersionQuery(int number) implements RolloutMessage { }

    /** The stamp of what the teller acts under, of which no roll is open. */
    record VersionReply(FileFingerprint fingerprint) implements RolloutMessage { }
}

package ridgemill.version;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * One proxy's view of the versions in effect at the other members, kept up to date by gossip. Every second the proxy
 * sends two random members a summary of itself and of one other member, preferring members with changes, and heartbeats
 * of several more. So a change reaches all members within a few rounds, however many there are, and the last state of a
 * killed process is known to some. The view decides nothing; for each member it reports whether it lags, by how much,
 * and why. Times are milliseconds.
 */
public final class FleetView {

    /** Interval of the gossip rounds. */
    public static final double ROUND_INTERVAL_MS = 1000;
    /** Number of members that are sent messages in each round. */
    private static final int FANOUT = 2;
    /** A member that has not been heard of for this long is silent. */
    public static final double SILENT_MS = 8000;
    /**
     * How often a changed version is forwarded before summaries that are only newer; with two sends a round it reaches
     * all members.
     */
    private static final int CHANGE_FORWARDS = 8;
    /** The same for a member that was not known: in a fleet that starts, all members are new. */
    private static final int NEW_MEMBER_FORWARDS = 2;
    /** A member that has been behind for less than this may still be catching up. */
    private static final double ON_ITS_WAY_MS = 5000;
    /** A proxy that was inactive for this long was suspended, so its queued messages may be of any age. */
    private static final double STALL_MS = 2500;
    /** Received messages are ignored for this long after a suspension, by when the queued ones have been read. */
    private static final double CATCH_UP_MS = 500;
    /** The source of host lists is polled all the time; a failure for less than this is not reported. */
    private static final int LIST_LATE_S = 5;
    /** Number of past processes of a member that are remembered. */
    private static final int MAX_PAST_PROCESSES = 8;
    private static final double MS_PER_S = 1000;

    /** Why a member's version differs from the others'. */
    public enum StatusReason {
        /** It does not differ. */
        UP_TO_DATE,
        /** It was never heard of. */
        NEVER_HEARD,
        /** It has not been heard of lately: it is suspended, has ended or is cut off. */
        SILENT,
        /** It was given a newer file and has refused it. */
        REFUSED,
        /** It has had an older file in effect for a short time. */
        ON_ITS_WAY,
        /** It has an older file in effect and has refused no newer one: it was given none. */
        BEHIND,
        /** It has the highest number with another text than most of the others. */
        OTHER_TEXT,
        /** It has another build than this proxy. */
        OTHER_BUILD,
        /** It has another platform configuration than this proxy. */
        OTHER_PLATFORM,
        /** It is out of service. */
        OUT,
        /** It has the same version as the others, but can't reach the source of the host list. */
        LIST_LATE
    }

    /**
     * The state of one member as far as this proxy knows.
     *
     * @param summary its last summary; null if there is none
     * @param heardAgoMs time since the last new information
     * @param behind by how much its file number is below the highest
     * @param behindMs for how long that has been known here
     * @param isCurrent whether its last heartbeat is about the file of the summary
     * @param restarts number of its known processes after the first
     */
    public record MemberStatus(int member, Summary summary, double heardAgoMs, StatusReason reason, long behind,
            double behindMs, boolean isCurrent, int restarts) {

        /** Describes the state; operators are shown this text. */
        public String describe() {
            if (summary == null) {
                return "never heard";
            }
            String text = "file %d.%08x for %.1f s, build %08x, %d entries, %d requests, heard %.1f s ago".formatted(
                    summary.fileNumber(), summary.fileDigest() >>> Integer.SIZE,
                    (summary.inEffectMs() + heardAgoMs) / MS_PER_S, summary.build(), summary.entries(),
                    summary.begun(), heardAgoMs / MS_PER_S)
                    + (restarts > 0 ? ", started again " + restarts + " times" : "");
            return switch (reason) {
                case UP_TO_DATE -> text;
                case REFUSED -> text + "; BEHIND by " + behind + " for %.1f s".formatted(behindMs / MS_PER_S)
                        + ": refused file " + summary.refusedFile() + ", see its own audit";
                case BEHIND, ON_ITS_WAY -> text + "; BEHIND by " + behind + " for %.1f s".formatted(behindMs / MS_PER_S)
                        + (reason == StatusReason.BEHIND ? ": nobody gave it a newer file" : "");
                case SILENT -> text + "; SILENT: stopped, gone or cut off"
                        + (behind > 0 ? ", and behind by " + behind : "");
                case OTHER_TEXT -> text + "; OTHER TEXT under one number";
                case OTHER_BUILD -> text + "; OTHER BUILD than here";
                case OTHER_PLATFORM -> text + "; OTHER PLATFORM configuration than here";
                case LIST_LATE -> text + "; LIST LATE: it has not reached who gives the host list for "
                        + summary.hostListLateS()
                        + " s, and goes by number " + Integer.toUnsignedString(summary.hostListNumber());
                case OUT -> text + "; OUT: it has stepped aside" + (behind > 0 ? ", behind by " + behind : "");
                case NEVER_HEARD -> "never heard";
            };
        }
    }

    /** What is known of one member. */
    private static final class MemberState {
        Summary summary;
        double heardAt;
        double behindSince = Double.NaN;
        /** Sequence of the latest summary or heartbeat. */
        int lastSequence;
        /** Checksum of the file in effect at that time. */
        short fileChecksum;
        /** How often it is still to be forwarded before others, because of a change. */
        int forwardsLeft;
        int processes;
        /** Past processes of the member, whose messages no longer count. */
        final Deque<Integer> pastIncarnations = new ArrayDeque<>();

        /**
         * Returns whether a summary is of a process that follows the known one. Usually that process has started later.
         * But the clock may have been set back between the two, so a process with an earlier start follows too once the
         * known one is silent.
         */
        boolean isFollowedBy(double nowMs, Summary other) {
            return other.incarnation() != summary.incarnation() && !pastIncarnations.contains(other.incarnation())
                    && (other.startedMs() > summary.startedMs() || nowMs - heardAt > SILENT_MS);
        }
    }

    private final int self;
    private final int members;
    private final SplittableRandom random;
    private final Map<Integer, MemberState> memberStates = new TreeMap<>();
    /**
     * Members that have not been sent a message in the current pass over all of them; so every member hears from every
     * other.
     */
    private final List<Integer> pendingTargets = new ArrayList<>();
    private double lastActiveAt = Double.NaN;
    private double ignoreUntil = Double.NEGATIVE_INFINITY;

    /** Creates the view of the proxy that is number {@code self} of the members. */
    public FleetView(int self, int members, long seed) {
        this.self = self;
        this.members = members;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Returns the messages of one round by receiver: to two other members, or to all there are, each with the summary
     * of this proxy and of the members that are still to be forwarded most often.
     */
    public Map<Integer, Gossip> gossipRound(double nowMs, Summary own) {
        updateOwn(nowMs, own);
        Map<Integer, Gossip> messages = new TreeMap<>();
        for (int i = 0; i < Math.min(FANOUT, members - 1); i++) {
            if (pendingTargets.isEmpty()) {
                pendingTargets.addAll(IntStream.range(0, members).filter(m -> m != self).boxed().toList());
            }
            int to = pendingTargets.remove(random.nextInt(pendingTargets.size()));
            List<Summary> summaries = new ArrayList<>(List.of(own));
            List<MemberState> rest = new ArrayList<>();
            memberStates.forEach((member, state) -> {
                if (member != self && member != to) {
                    rest.add(state);
                }
            });
            shuffle(rest);
            rest.sort(Comparator.comparingInt(state -> -state.forwardsLeft));
            while (summaries.size() < SummaryWire.MAX_SUMMARIES && !rest.isEmpty()) {
                MemberState state = rest.remove(0);
                state.forwardsLeft = Math.max(0, state.forwardsLeft - 1);
                summaries.add(state.summary);
            }
            shuffle(rest);
            // The last heartbeat of a silent member is of no use.
            messages.put(to, new Gossip(summaries, rest.stream().filter(state -> nowMs - state.heardAt < SILENT_MS)
                    .limit(SummaryWire.MAX_HEARTBEATS).map(state -> new Gossip.Heartbeat(state.summary.member(),
                            (short) state.summary.incarnation(), state.lastSequence, state.fileChecksum)).toList()));
        }
        return messages;
    }

    private void shuffle(List<MemberState> all) {
        for (int i = all.size() - 1; i > 0; i--) {
            Collections.swap(all, i, random.nextInt(i + 1));
        }
    }

    /** Updates the state of this proxy. */
    public void updateOwn(double nowMs, Summary own) {
        detectStall(nowMs);
        merge(nowMs, own);
    }


    /** Ignores received messages for a while if this proxy was suspended, since queued ones may be of any age. */
    private void detectStall(double nowMs) {
        if (nowMs - lastActiveAt > STALL_MS) {
            ignoreUntil = nowMs + CATCH_UP_MS;
        }
        lastActiveAt = nowMs;
    }

    /** Receives another proxy's message. */
    public void receive(double nowMs, Gossip gossip) {
        detectStall(nowMs);
        if (nowMs < ignoreUntil) {
            return;
        }
        gossip.summaries().stream()
                .filter(summary -> summary.member() >= 0 && summary.member() < members && summary.member() != self)
                .forEach(summary -> merge(nowMs, summary));
        for (Gossip.Heartbeat heartbeat : gossip.heartbeats()) {
            MemberState state = memberStates.get(heartbeat.member());
            if (state != null && heartbeat.member() != self
                    && (short) state.summary.incarnation() == heartbeat.incarnation()
                    && heartbeat.sequence() > state.lastSequence) {
                state.lastSequence = heartbeat.sequence();
                state.fileChecksum = heartbeat.fileChecksum();
                state.heardAt = nowMs;
            }
        }
    }

    private void merge(double nowMs, Summary received) {
        MemberState state = memberStates.get(received.member());
        boolean follows = state != null && state.isFollowedBy(nowMs, received);
        if (state == null || follows || received.isLaterThan(state.summary)) {
            MemberState updated = state == null ? new MemberState() : state;
            if (follows) {
                updated.pastIncarnations.addLast(state.summary.incarnation());
                if (updated.pastIncarnations.size() > MAX_PAST_PROCESSES) {
                    updated.pastIncarnations.removeFirst();
                }
            }
            updated.forwardsLeft = state == null ? NEW_MEMBER_FORWARDS : state.summary.differsFrom(received)
                    ? CHANGE_FORWARDS : updated.forwardsLeft;
            updated.processes += state == null || follows ? 1 : 0;
            if (state == null || follows || received.sequence() > state.lastSequence) {
                updated.lastSequence = received.sequence();
                updated.fileChecksum = received.fileChecksum();
                updated.heardAt = nowMs;
            }
            updated.summary = received;
            memberStates.put(received.member(), updated);
        }
        long highest = highestFileNumber();
        memberStates.values().forEach(other -> other.behindSince = other.summary.fileNumber() >= highest ? Double.NaN
                : Double.isNaN(other.behindSince) ? nowMs : other.behindSince);
    }

    /** Returns the highest file number known to be in effect at a member; 0 if no member is known. */
    public long highestFileNumber() {
        return memberStates.values().stream().mapToLong(state -> state.summary.fileNumber()).max().orElse(0);
    }

    /**
     * Returns the digest that is most common among the files with the highest number; of two equally common ones the
     * lower.
     */
    private long mostCommonDigest() {
        long highest = highestFileNumber();
        Map<Long, Integer> counts = new HashMap<>();
        memberStates.values().stream().filter(state -> state.summary.fileNumber() == highest)
                .forEach(state -> counts.merge(state.summary.fileDigest(), 1, Integer::sum));
        return counts.entrySet().stream().min(Comparator.comparing((Map.Entry<Long, Integer> e) -> -e.getValue())
                .thenComparing(Map.Entry::getKey)).map(Map.Entry::getKey).orElse(0L);
    }

    /** Returns whether a member was out of service by the last that is known of it. */
    public boolean isOutOfService(int member) {
        MemberState state = memberStates.get(member);
        return state != null && state.summary.outOfService();
    }

    /** Returns whether a member was heard of lately; otherwise its process may have ended. */
    public static boolean isAlive(MemberStatus status) {
        return status.summary() != null && status.heardAgoMs() <= SILENT_MS;
    }

    /** Returns the state of each member, in their order. */
    public List<MemberStatus> statuses(double nowMs) {
        List<MemberStatus> all = new ArrayList<>();
        long highest = highestFileNumber();
        long commonDigest = mostCommonDigest();
        for (int i = 0; i < members; i++) {
            MemberState state = memberStates.get(i);
            if (state == null) {
                all.add(new MemberStatus(i, null, 0, StatusReason.NEVER_HEARD, 0, 0, false, 0));
                continue;
            }
            long behind = highest - state.summary.fileNumber();
            double behindMs = Double.isNaN(state.behindSince) ? 0 : nowMs - state.behindSince;
            all.add(new MemberStatus(i, state.summary, nowMs - state.heardAt,
                    determineReason(nowMs, i, state, behind, behindMs, commonDigest),
                    behind, behindMs, state.fileChecksum == state.summary.fileChecksum(), state.processes - 1));
        }
        return all;
    }

    private StatusReason determineReason(double nowMs, int member, MemberState state, long behind, double behindMs,
            long commonDigest) {
        Summary own = memberStates.containsKey(self) ? memberStates.get(self).summary : state.summary;
        if (member != self && nowMs - state.heardAt > SILENT_MS) {
            return StatusReason.SILENT;
        }
        if (state.summary.outOfService()) {
            return StatusReason.OUT;
        }
        if (behind > 0) {
            return state.summary.refusedFile() > state.summary.fileNumber() ? StatusReason.REFUSED
                    : behindMs < ON_ITS_WAY_MS ? StatusReason.ON_ITS_WAY : StatusReason.BEHIND;
        }
        return state.summary.fileDigest() != commonDigest ? StatusReason.OTHER_TEXT
                : state.summary.build() != own.build() ? StatusReason.OTHER_BUILD
                : state.summary.platform() != own.platform() ? StatusReason.OTHER_PLATFORM
                : state.summary.hostListLateS() >= LIST_LATE_S ? StatusReason.LIST_LATE : StatusReason.UP_TO_DATE;
    }
}

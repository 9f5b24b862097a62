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
 * What one proxy knows of which versions the others act under. Each second it tells two others, by chance, of itself, of one more, first of
 * whom something is new, and of some that they live: so what changes reaches all in a few rounds, however many there are, and what a
 * process that was killed said last is known to some. Decides nothing for anybody; says of each who lags, by how much and why. Times are milliseconds.
 */
public final class FleetView {

    /** From one round of telling to the next. */
    public static final double ROUND_INTERVAL_MS = 1000;
    private static final int TOLD = 2;
    /** Who has not been heard of for so long is called silent. */
    public static final double SILENT_MS = 8000;
    /** So often news of another version goes before what is only newer: enough for all to have it, at two a round. */
    private static final int PASSED_ON = 8;
    /** The same for one that was not known: all are new to a fleet that starts. */
    private static final int FIRST_PASSED_ON = 2;
    /** Who has just been seen behind may be on its way. */
    private static final double ON_ITS_WAY_MS = 5000;
    /** Who has not come to itself for so long was stopped: what waits for it then is of any age. */
    private static final double STOP_MS = 2500;
    /** For so long after a stop nothing is taken for news: what waited has been read by then. */
    private static final double CATCH_UP_MS = 500;
    /** Whoever gives host lists is asked again and again; for so long that is nothing to tell. */
    private static final int LIST_LATE_S = 5;
    /** So many of a member's past processes are known as such. */
    private static final int MOST_PAST = 8;
    private static final double MS_PER_S = 1000;

    /** Why one does not act as the others do. */
    public enum StatusReason {
        /** It does. */
        UP_TO_DATE,
        /** Nothing was ever heard of it. */
        NEVER_HEARD,
        /** Nothing new is heard of it: it is stopped, gone or cut off. */
        SILENT,
        /** It was given the file and does not take it. */
        REFUSED,
        /** It acts under an older file since a moment ago. */
        ON_ITS_WAY,
        /** It acts under an older file and says nothing of a newer one: nobody gave it one. */
        BEHIND,
        /** It acts under the same number, and another text than more of the others. */
        OTHER_TEXT,
        /** Its build is another. */
        OTHER_BUILD,
        /** Its platform's configuration is another. */
        OTHER_PLATFORM,
        /** It has stepped aside. */
        OUT,
        /** It acts as the others do, and can't ask whoever gives the host list. */
        LIST_LATE
    }

    /**
     * How one proxy is, as far as is known here.
     *
     * @param summary the last of it; null if none was heard
     * @param heardAgoMs how long ago that was new here
     * @param behind how many numbers its file is below the highest
     * @param behindMs for how long that has been known here
     * @param isCurrent whether its last sign of life is of the file that the summary tells of
     * @param restarts how many of its processes have been heard of, but for the first
     */
    public record MemberStatus(int member, Summary summary, double heardAgoMs, StatusReason reason, long behind, double behindMs, boolean isCurrent, int restarts) {

        /** In words. */
        public String describe() {
            if (summary == null) {
                return "never heard";
            }
            String words = "file %d.%08x for %.1f s, build %08x, %d entries, %d requests, heard %.1f s ago".formatted(summary.fileNumber(),
                    summary.fileDigest() >>> Integer.SIZE, (summary.inEffectMs() + heardAgoMs) / MS_PER_S, summary.build(), summary.entries(),
                    summary.begun(), heardAgoMs / MS_PER_S) + (restarts > 0 ? ", started again " + restarts + " times" : "");
            return switch (reason) {
                case UP_TO_DATE -> words;
                case REFUSED -> words + "; BEHIND by " + behind + " for %.1f s".formatted(behindMs / MS_PER_S) + ": refused file "
                        + summary.refusedFile() + ", see its own audit";
                case BEHIND, ON_ITS_WAY -> words + "; BEHIND by " + behind + " for %.1f s".formatted(behindMs / MS_PER_S)
                        + (reason == StatusReason.BEHIND ? ": nobody gave it a newer file" : "");
                case SILENT -> words + "; SILENT: stopped, gone or cut off" + (behind > 0 ? ", and behind by " + behind : "");
                case OTHER_TEXT -> words + "; OTHER TEXT under one number";
                case OTHER_BUILD -> words + "; OTHER BUILD than here";
                case OTHER_PLATFORM -> words + "; OTHER PLATFORM configuration than here";
                case LIST_LATE -> words + "; LIST LATE: it has not reached who gives the host list for " + summary.hostListLateS() + " s, and goes by number "
                        + Integer.toUnsignedString(summary.hostListNumber());
                case OUT -> words + "; OUT: it has stepped aside" + (behind > 0 ? ", behind by " + behind : "");
                case NEVER_HEARD -> "never heard";
            };
        }
    }

    /** What is known of one. */
    private static final class Known {
        Summary summary;
        double heardAt;
        double behindSince = Double.NaN;
        /** The latest sign of life: a summary's number. */
        int aliveNumber;
        /** What it acted under then. */
        short sign;
        /** How often yet it goes before others, as it says that something is other. */
        int hot;
        int processes;
        /** Its processes that were followed by others: nothing that was said of them counts any more. */
        final Deque<Integer> past = new ArrayDeque<>();

        /**
         * Whether a summary is of a process that follows. Mostly that is the one that started later; but a clock may have been set back
         * between the two, so one that says it started earlier follows as well, once the one that is known has been silent.
         */
        boolean isFollowedBy(double nowMs, Summary s) {
            return s.incarnation() != summary.incarnation() && !past.contains(s.incarnation())
                    && (s.startedMs() > summary.startedMs() || nowMs - heardAt > SILENT_MS);
        }
    }

    private final int self;
    private final int members;
    private final SplittableRandom random;
    private final Map<Integer, Known> known = new TreeMap<>();
    /** Who is yet to be told in this pass over all: so each hears from each, however unlucky both are. */
    private final List<Integer> next = new ArrayList<>();
    private double awakeAt = Double.NaN;
    private double deafUntil = Double.NEGATIVE_INFINITY;

    /** {@code self} is this proxy's place among so many members. */
    public FleetView(int self, int members, long seed) {
        this.self = self;
        this.members = members;
        this.random = new SplittableRandom(seed);
    }

    /** Whom to tell what in this round: two others, or all there are, each of itself and of those that were told of least. */
    public Map<Integer, Gossip> gossipRound(double nowMs, Summary own) {
        updateOwn(nowMs, own);
        Map<Integer, Gossip> telling = new TreeMap<>();
        for (int i = 0; i < Math.min(TOLD, members - 1); i++) {
            if (next.isEmpty()) {
                next.addAll(IntStream.range(0, members).filter(m -> m != self).boxed().toList());
            }
            int to = next.remove(random.nextInt(next.size()));
            List<Summary> words = new ArrayList<>(List.of(own));
            List<Known> rest = new ArrayList<>();
            known.forEach((member, k) -> {
                if (member != self && member != to) {
                    rest.add(k);
                }
            });
            shuffle(rest);
            rest.sort(Comparator.comparingInt(k -> -k.hot));
            while (words.size() < SummaryWire.MAX_SUMMARIES && !rest.isEmpty()) {
                Known k = rest.remove(0);
                k.hot = Math.max(0, k.hot - 1);
                words.add(k.summary);
            }
            shuffle(rest);
            // A silent one's last sign of life says nothing to anybody.
            telling.put(to, new Gossip(words, rest.stream().filter(k -> nowMs - k.heardAt < SILENT_MS).limit(SummaryWire.MAX_HEARTBEATS)
                    .map(k -> new Gossip.Heartbeat(k.summary.member(), (short) k.summary.incarnation(), k.aliveNumber, k.sign)).toList()));
        }
        return telling;
    }

    private void shuffle(List<Known> all) {
        for (int i = all.size() - 1; i > 0; i--) {
            Collections.swap(all, i, random.nextInt(i + 1));
        }
    }

    /** What this proxy says of itself now. */
    public void updateOwn(double nowMs, Summary own) {
        awake(nowMs);
        take(nowMs, own);
    }

    private void awake(double nowMs) {
        if (nowMs - awakeAt > STOP_MS) {
            deafUntil = nowMs + CATCH_UP_MS;
        }
        awakeAt = nowMs;
    }

    /** Another proxy says what it knows. */
    public void receive(double nowMs, Gossip gossip) {
        awake(nowMs);
        if (nowMs < deafUntil) {
            return;
        }
        gossip.summaries().stream().filter(s -> s.member() >= 0 && s.member() < members && s.member() != self).forEach(s -> take(nowMs, s));
        for (Gossip.Heartbeat a : gossip.heartbeats()) {
            Known k = known.get(a.member());
            if (k != null && a.member() != self && (short) k.summary.incarnation() == a.incarnation() && a.sequence() > k.aliveNumber) {
                k.aliveNumber = a.sequence();
                k.sign = a.fileChecksum();
                k.heardAt = nowMs;
            }
        }
    }

    private void take(double nowMs, Summary s) {
        Known k = known.get(s.member());
        boolean follows = k != null && k.isFollowedBy(nowMs, s);
        if (k == null || follows || s.isLaterThan(k.summary)) {
            Known next = k == null ? new Known() : k;
            if (follows) {
                next.past.addLast(k.summary.incarnation());
                if (next.past.size() > MOST_PAST) {
                    next.past.removeFirst();
                }
            }
            next.hot = k == null ? FIRST_PASSED_ON : k.summary.differsFrom(s) ? PASSED_ON : next.hot;
            next.processes += k == null || follows ? 1 : 0;
            if (k == null || follows || s.sequence() > k.aliveNumber) {
                next.aliveNumber = s.sequence();
                next.sign = s.fileChecksum();
                next.heardAt = nowMs;
            }
            next.summary = s;
            known.put(s.member(), next);
        }
        long head = highestFileNumber();
        known.values().forEach(o -> o.behindSince = o.summary.fileNumber() >= head ? Double.NaN : Double.isNaN(o.behindSince) ? nowMs : o.behindSince);
    }

    /** The highest number that anybody is known to act under; 0 where nobody is known. */
    public long highestFileNumber() {
        return known.values().stream().mapToLong(k -> k.summary.fileNumber()).max().orElse(0);
    }

    /** The text that most act under of those at the highest number; of two that as many do, the lower digest. */
    private long text() {
        long head = highestFileNumber();
        Map<Long, Integer> counts = new HashMap<>();
        known.values().stream().filter(k -> k.summary.fileNumber() == head).forEach(k -> counts.merge(k.summary.fileDigest(), 1, Integer::sum));
        return counts.entrySet().stream().min(Comparator.comparing((Map.Entry<Long, Integer> e) -> -e.getValue()).thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey).orElse(0L);
    }

    /** Whether the last that is known of a member is that it has stepped aside. */
    public boolean isOutOfService(int member) {
        Known k = known.get(member);
        return k != null && k.summary.outOfService();
    }

    /** Whether this was heard of lately: a process of which nothing is heard for longer may be gone. */
    public static boolean isAlive(MemberStatus s) {
        return s.summary() != null && s.heardAgoMs() <= SILENT_MS;
    }

    /** How each member is, in their order. */
    public List<MemberStatus> statuses(double nowMs) {
        List<MemberStatus> all = new ArrayList<>();
        long head = highestFileNumber();
        long text = text();
        for (int i = 0; i < members; i++) {
            Known k = known.get(i);
            if (k == null) {
                all.add(new MemberStatus(i, null, 0, StatusReason.NEVER_HEARD, 0, 0, false, 0));
                continue;
            }
            long behind = head - k.summary.fileNumber();
            double behindMs = Double.isNaN(k.behindSince) ? 0 : nowMs - k.behindSince;
            all.add(new MemberStatus(i, k.summary, nowMs - k.heardAt, why(nowMs, i, k, behind, behindMs, text), behind, behindMs,
                    k.sign == k.summary.fileChecksum(), k.processes - 1));
        }
        return all;
    }

    private StatusReason why(double nowMs, int member, Known k, long behind, double behindMs, long text) {
        Summary own = known.containsKey(self) ? known.get(self).summary : k.summary;
        if (member != self && nowMs - k.heardAt > SILENT_MS) {
            return StatusReason.SILENT;
        }
        if (k.summary.outOfService()) {
            return StatusReason.OUT;
        }
        if (behind > 0) {
            return k.summary.refusedFile() > k.summary.fileNumber() ? StatusReason.REFUSED : behindMs < ON_ITS_WAY_MS ? StatusReason.ON_ITS_WAY : StatusReason.BEHIND;
        }
        return k.summary.fileDigest() != text ? StatusReason.OTHER_TEXT : k.summary.build() != own.build() ? StatusReason.OTHER_BUILD
                : k.summary.platform() != own.platform() ? StatusReason.OTHER_PLATFORM : k.summary.hostListLateS() >= LIST_LATE_S ? StatusReason.LIST_LATE : StatusReason.UP_TO_DATE;
    }
}

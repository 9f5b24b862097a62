package ridgemill.rollout;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import ridgemill.rollout.FileFingerprint.FileVersion;

/**
 * Whether this proxy is one that does not act as the fleet does, and steps aside for it: it begins no request until it does again.
 * Each decides for itself, by what it hears of the others; nobody else can shut it out, nor has to be reached for it.
 */
public final class Quarantine {

    /** Why a proxy is out, or in although it lags. */
    public enum Reason {
        /** It acts as the fleet does. */
        IN(false),
        /** It acts under a lower number than the fleet, for less than the bound: it is to be brought up. */
        LAGS(false),
        /** For longer than that. */
        BEHIND(true),
        /** It acts under the fleet's number, and another text. */
        OTHER_TEXT(true),
        /** It acts under a higher number than the fleet, and no roll is under way. */
        AHEAD(true),
        /** It hears of half of the fleet or less, and can't know what that acts under. */
        CUT_OFF(true),
        /** It would be out, but too many are already: the version may be at fault, and not the proxies. */
        TOO_MANY(false);

        private final boolean aside;

        Reason(boolean aside) {
            this.aside = aside;
        }
    }

    /** What a proxy does that is cut off. */
    public enum CutOffAction { SERVE, STEP_ASIDE }

    /**
     * The bounds.
     *
     * @param maxLagMs for how long a proxy may act under something else than the fleet, as it knows
     * @param cutOffAfterMs for how long it may hear of half of the fleet or less
     * @param cutOffAction what it does then
     * @param maxOutShare which share of the proxies may be out; those of which nothing is heard count as out
     * @param probationMs for how long it has to act as the fleet does before it is in again; doubles with each time that it is out again soon
     */
    public record Limits(double maxLagMs, double cutOffAfterMs, CutOffAction cutOffAction, double maxOutShare, double probationMs) {

        public static final Limits DEFAULT = new Limits(10_000, 5000, CutOffAction.SERVE, 0.34, 2000);
    }

    /**
     * What is known of another proxy.
     *
     * @param version what it acts under; null where it is known to act under something else than it said last
     * @param alive whether anything was heard of it lately
     * @param outOfService whether it says that it is out
     */
    public record Peer(int member, FileVersion version, boolean alive, boolean outOfService) { }

    /** After a start each hears of some four others a second at first. */
    private static final double START_MS_A_MEMBER = 300;
    private static final int MOST_DOUBLINGS = 5;
    /** Who is out again within so many times of how long it had to stay is flapping. */
    private static final double SOON = 10;

    private final int self;
    private final int members;
    private final Limits limits;
    private double majorityAt;
    private double differsSince = Double.NaN;
    private double fitsSince = Double.NaN;
    private double inSince;
    private int doublings;
    private boolean outOfService;
    private Reason why = Reason.IN;

    /** One that starts is in, and has both bounds, and some time for each member, to hear of others. */
    public Quarantine(int self, int members, double now, Limits bounds) {
        this.self = self;
        this.members = members;
        this.limits = bounds;
        this.majorityAt = now + bounds.maxLagMs() + START_MS_A_MEMBER * members;
        this.inSince = now;
    }

    /**
     * Looks at what is known; returns whether it is out.
     *
     * @param peers the others of which anything is known
     * @param led whether somebody takes a version through the fleet, and has spoken to this proxy lately
     */
    public boolean update(double now, FileVersion own, Collection<Peer> peers, boolean led) {
        // One that was stopped, and hears all at once what was said meanwhile, is out until it acts as the fleet does.
        step(now, isOutOfService(now));
        long alive = peers.stream().filter(Peer::alive).count() + 1;
        if (2 * alive > members) {
            majorityAt = Math.max(majorityAt, now);
        }
        FileVersion fleet = fleet(own, peers);
        boolean known = 2 * (peers.stream().filter(p -> p.alive() && p.version() != null).count() + 1) > members;
        boolean fits = led || fleet.equals(own);
        if (!fits) {
            differsSince = Double.isNaN(differsSince) ? now : differsSince;
        } else if (known) {
            differsSince = Double.NaN;
        }
        fitsSince = !fits || !known ? Double.NaN : Double.isNaN(fitsSince) ? now : fitsSince;
        Reason next = reason(now, own, fleet, fits);
        if (next.aside && next != Reason.CUT_OFF && !outOfService && othersOut(fleet, peers) >= (int) (limits.maxOutShare() * members)) {
            next = Reason.TOO_MANY;
        }
        step(now, next.aside);
        if (!next.aside && outOfService && now - fitsSince >= stayMs()) {
            outOfService = false;
            inSince = now;
        }
        why = next.aside || !outOfService ? next : why;
        return outOfService;
    }

    private void step(double now, boolean aside) {
        if (aside && !outOfService) {
            doublings = now - inSince < SOON * stayMs() ? Math.min(MOST_DOUBLINGS, doublings + 1) : 0;
            outOfService = true;
            fitsSince = Double.NaN;
        }
    }

    private double stayMs() {
        return limits.probationMs() * (1 << doublings);
    }

    /** What most of those act under that are heard of and are not out; of as many, the higher number. */
    private FileVersion fleet(FileVersion own, Collection<Peer> peers) {
        Map<FileVersion, Integer> counts = new HashMap<>();
        if (!outOfService) {
            counts.put(own, 1);
        }
        peers.stream().filter(p -> p.alive() && !p.outOfService() && p.version() != null).forEach(p -> counts.merge(p.version(), 1, Integer::sum));
        return counts.entrySet().stream().max(Comparator.comparing((Map.Entry<FileVersion, Integer> e) -> e.getValue())
                .thenComparing(e -> e.getKey().number()).thenComparing(e -> e.getKey().digest())).map(Map.Entry::getKey).orElse(own);
    }

    private Reason reason(double now, FileVersion own, FileVersion fleet, boolean fits) {
        if (isCutOff(now) && limits.cutOffAction() == CutOffAction.STEP_ASIDE) {
            return Reason.CUT_OFF;
        }
        if (fits && Double.isNaN(differsSince)) {
            return Reason.IN;
        }
        if (now - differsSince < limits.maxLagMs() && !outOfService) {
            return Reason.LAGS;
        }
        return own.number() < fleet.number() ? Reason.BEHIND : own.number() > fleet.number() ? Reason.AHEAD : Reason.OTHER_TEXT;
    }

    private boolean isCutOff(double now) {
        return now - majorityAt > limits.cutOffAfterMs();
    }

    /** How many others are out, or may be, or go first as they lag too and have lower numbers. */
    private int othersOut(FileVersion fleet, Collection<Peer> peers) {
        long heard = peers.stream().filter(Peer::alive).count();
        long out = peers.stream().filter(p -> p.alive() && (p.outOfService() || !fleet.equals(p.version()) && p.member() < self)).count();
        return (int) (members - 1 - heard + out);
    }

    /**
     * Whether no request may begin now. Looks at the clock alone, so that a process which was stopped and goes on where it was knows
     * before it has heard of anybody.
     */
    public boolean isOutOfService(double now) {
        return outOfService || limits.cutOffAction() == CutOffAction.STEP_ASIDE && isCutOff(now);
    }

    /** Whether it acts under something else than the fleet, whatever comes of that. */
    public boolean differsFromFleet() {
        return !Double.isNaN(differsSince);
    }

    /** Why it is out, or in. */
    public Reason reason() {
        return why;
    }
}

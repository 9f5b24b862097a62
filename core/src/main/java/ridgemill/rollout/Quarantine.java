package ridgemill.rollout;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import ridgemill.rollout.FileFingerprint.FileVersion;

/**
 * Decides whether this proxy's version in effect differs from the fleet's, in which case the proxy takes itself out of
 * service: it begins no request until the versions match again. Each proxy decides for itself from the announcements of
 * the others. No other proxy can exclude it, and none needs to be reached for it.
 */
public final class Quarantine {

    /** Why a proxy is out of service, or in service although it lags. */
    public enum Reason {
        /** Its version in effect is the fleet's. */
        IN(false),
        /** Its version is below the fleet's, for less than {@link Limits#maxLagMs}: it is to catch up. */
        LAGS(false),
        /** Its version is below the fleet's for longer than that. */
        BEHIND(true),
        /** It has the fleet's number with another text. */
        OTHER_TEXT(true),
        /** Its version is above the fleet's, and no rollout is in progress. */
        AHEAD(true),
        /** It hears of half of the fleet or less, so it can't know the fleet's version. */
        CUT_OFF(true),
        /**
         * It would be out of service, but too many proxies are already: the fault may be in the version and not in the
         * proxies.
         */
        TOO_MANY(false);

        private final boolean outOfService;

        Reason(boolean outOfService) {
            this.outOfService = outOfService;
        }
    }

    /** What a proxy does that is cut off from most of the fleet. */
    public enum CutOffAction { SERVE, STEP_ASIDE }

    /**
     * The limits by which a proxy is taken out of service.
     *
     * @param maxLagMs how long a proxy's version may knowingly differ from the fleet's
     * @param cutOffAfterMs how long it may hear of half of the fleet or less until it is cut off
     * @param cutOffAction what it does when it is cut off
     * @param maxOutShare share of the proxies that may be out of service; proxies that are not heard of count as out
     * @param probationMs how long its version has to match the fleet's before it is in service again; doubled each time
     *     that it goes out of service again soon
     */
    public record Limits(double maxLagMs, double cutOffAfterMs, CutOffAction cutOffAction, double maxOutShare,
            double probationMs) {


        /** A lag of 10 s; cut off after 5 s, then it still serves; at most 34 % out of service; 2 s of probation. */
        public static final Limits DEFAULT = new Limits(10_000, 5000, CutOffAction.SERVE, 0.34, 2000);
    }

    /**
     * What is known of another proxy.
     *
     * @param version its version in effect; null if that is known to have changed since it was announced
     * @param alive whether it was heard of lately
     * @param outOfService whether it has announced that it is out of service
     */
    public record Peer(int member, FileVersion version, boolean alive, boolean outOfService) { }

    /** Time allowed per member after a start: at first a proxy hears of about four others a second. */
    private static final double START_MS_PER_MEMBER = 300;
    private static final int MAX_DOUBLINGS = 5;
    /** A proxy is flapping if it goes out of service again within this multiple of its probation. */
    private static final double FLAP_WINDOW_FACTOR = 10;

    private final int self;
    private final int members;
    private final Limits limits;
    private double majorityHeardAt;
    private double differsSince = Double.NaN;
    private double matchesSince = Double.NaN;
    private double inServiceSince;
    private int doublings;
    private boolean outOfService;
    private Reason reason = Reason.IN;

    /**
     * Creates the quarantine of a proxy that starts. It is in service, and has both limits and some time for each
     * member to hear of the others.
     */
    public Quarantine(int self, int members, double now, Limits limits) {
        this.self = self;
        this.members = members;
        this.limits = limits;
        this.majorityHeardAt = now + limits.maxLagMs() + START_MS_PER_MEMBER * members;
        this.inServiceSince = now;
    }

    /**
     * Updates the decision; returns whether the proxy is out of service.
     *
     * @param peers the other proxies of which anything is known
     * @param coordinated whether this proxy takes part in a rollout and was told so by its coordinator lately
     */
    public boolean update(double now, FileVersion own, Collection<Peer> peers, boolean coordinated) {
        // A process that was suspended receives its queued messages at once. It stays out of service until its version
        // matches.
        quarantineIf(now, isOutOfService(now));
        long alive = peers.stream().filter(Peer::alive).count() + 1;
        if (2 * alive > members) {
            majorityHeardAt = Math.max(majorityHeardAt, now);
        }
        FileVersion fleet = fleetVersion(own, peers);
        boolean majorityKnown = 2 * (peers.stream().filter(p -> p.alive() && p.version() != null).count() + 1)
                > members;
        boolean matches = coordinated || fleet.equals(own);
        if (!matches) {
            differsSince = Double.isNaN(differsSince) ? now : differsSince;
        } else if (majorityKnown) {
            differsSince = Double.NaN;
        }
        matchesSince = !matches || !majorityKnown ? Double.NaN : Double.isNaN(matchesSince) ? now : matchesSince;
        Reason next = determineReason(now, own, fleet, matches);
        if (next.outOfService && next != Reason.CUT_OFF && !outOfService
                && countOthersOut(fleet, peers) >= (int) (limits.maxOutShare() * members)) {
            next = Reason.TOO_MANY;
        }
        quarantineIf(now, next.outOfService);
        if (!next.outOfService && outOfService && now - matchesSince >= probationMs()) {
            outOfService = false;
            inServiceSince = now;
        }
        reason = next.outOfService || !outOfService ? next : reason;
        return outOfService;
    }


    /**
     * Takes the proxy out of service if the condition holds, with a longer probation if it was in service for a short
     * time only.
     */
    private void quarantineIf(double now, boolean condition) {
        if (condition && !outOfService) {
            doublings = now - inServiceSince < FLAP_WINDOW_FACTOR * probationMs()
                    ? Math.min(MAX_DOUBLINGS, doublings + 1) : 0;
            outOfService = true;
            matchesSince = Double.NaN;
        }
    }

    private double probationMs() {
        return limits.probationMs() * (1 << doublings);
    }

    /**
     * Returns the version in effect at most of the members that are alive and in service; of equally frequent ones the
     * highest.
     */
    private FileVersion fleetVersion(FileVersion own, Collection<Peer> peers) {
        Map<FileVersion, Integer> counts = new HashMap<>();
        if (!outOfService) {
            counts.put(own, 1);
        }
        peers.stream().filter(p -> p.alive() && !p.outOfService() && p.version() != null)
                .forEach(p -> counts.merge(p.version(), 1, Integer::sum));
        return counts.entrySet().stream().max(Comparator.comparing((Map.Entry<FileVersion, Integer> e) -> e.getValue())
                .thenComparing(e -> e.getKey().number()).thenComparing(e -> e.getKey().digest())).map(Map.Entry::getKey)
                .orElse(own);
    }

    private Reason determineReason(double now, FileVersion own, FileVersion fleet, boolean matches) {
        if (isCutOff(now) && limits.cutOffAction() == CutOffAction.STEP_ASIDE) {
            return Reason.CUT_OFF;
        }
        if (matches && Double.isNaN(differsSince)) {
            return Reason.IN;
        }
        if (now - differsSince < limits.maxLagMs() && !outOfService) {
            return Reason.LAGS;
        }
        return own.number() < fleet.number() ? Reason.BEHIND : own.number() > fleet.number() ? Reason.AHEAD
                : Reason.OTHER_TEXT;
    }

    private boolean isCutOff(double now) {
        return now - majorityHeardAt > limits.cutOffAfterMs();
    }

    /** Counts the others that are out, may be out, or lag too and go first as they have lower numbers. */
    private int countOthersOut(FileVersion fleet, Collection<Peer> peers) {
        long heard = peers.stream().filter(Peer::alive).count();
        long out = peers.stream()
                .filter(p -> p.alive() && (p.outOfService() || !fleet.equals(p.version()) && p.member() < self))
                .count();
        return (int) (members - 1 - heard + out);
    }

    /**
     * Returns whether no request may begin now. Depends on the clock alone, so that a suspended process that continues
     * detects it before it has received any message.
     */
    public boolean isOutOfService(double now) {
        return outOfService || limits.cutOffAction() == CutOffAction.STEP_ASIDE && isCutOff(now);
    }

    /** Returns whether this proxy's version differs from the fleet's, in or out of service. */
    public boolean differsFromFleet() {
        return !Double.isNaN(differsSince);
    }

    /** Returns why the proxy is out of service or in service. */
    public Reason reason() {
        return reason;
    }
}

package ridgemill.cdn.edge;

import ridgemill.cdn.instances.Instance;
import ridgemill.policy.RendezvousHash;

/** What this proxy knows of one instance: its own requests there, how they fared, and the load that answers told. */
public final class InstanceStats {

    /** Failures in a row before an instance is spared, and for how long, doubling up to the last. */
    static final double STRIKES = 2;

    static final double SPARE_MS = 500;
    static final double SPARE_MOST_MS = 4_000;
    /** How long an instance is left alone after another one answered at its address. */
    static final double MISDIRECTED_MS = 5_000;
    /** How long an instance that turned a request away is taken to be full: about until a slot is free again. */
    private static final double FULL_MS = 50;

    private static final double SMOOTH = 0.1;
    /** A running share of spoilt answers beyond this spares an instance though it answers. */
    private static final double SPOILING = 0.35;
    /** How long a told load counts. */
    private static final double LOAD_MS = 250;
    /** What a cold instance gets of its share at its start. */
    private static final double COLD_SHARE = 0.35;

    private static final double SLOWEST_SHARE = 0.2;
    /** Requests beyond its slots that an instance is sent. */
    private static final int QUEUE = 1;

    private final long hash;
    private Instance instance;
    private boolean local;
    private int places;
    private int inFlight;
    private double strikes;
    private double spoilt;
    private int ejections;
    private double sparedUntilMs;
    private double goneUntilMs;
    private double fullUntilMs;
    private double lastBrokenMs = Double.NEGATIVE_INFINITY;
    private boolean onTrial;
    private double usualMs = Double.NaN;
    private double deviationMs;
    private double loadToldMs = Double.NEGATIVE_INFINITY;
    private int toldBusy;
    private int toldSlots;

    public InstanceStats(Instance instance) {
        this.instance = instance;
        this.hash = RendezvousHash.mix(RendezvousHash.hashText(instance.id()));
    }

    /**
     * Takes in what the control plane says of it.
     *
     * @param inOwnRegion whether it is in this proxy's region
     * @param connections how many connections this proxy may have there
     */
    public void learn(Instance told, boolean inOwnRegion, int connections) {
        instance = told;
        local = inOwnRegion;
        places = Math.max(1, Math.min(connections, told.slots() + QUEUE));
    }

    /** The instance as the control plane last described it. */
    public Instance instance() {
        return instance;
    }

    /** Whether it is in this proxy's region. */
    public boolean isLocal() {
        return local;
    }

    /** How many requests it may be sent at once. */
    public int places() {
        return places;
    }

    /** This proxy's requests there that have not ended. */
    public int inFlight() {
        return inFlight;
    }

    /** Whether it has not failed so recently that it is left alone. */
    public boolean isUsable(double nowMs) {
        return nowMs >= sparedUntilMs && (!onTrial || inFlight == 0);
    }

    /** Whether another instance answered at its address lately. */
    public boolean isGone(double nowMs) {
        return nowMs < goneUntilMs;
    }

    /** Whether it may take one more request of this proxy now. */
    public boolean isOpen(double nowMs) {
        if (inFlight >= places || nowMs < fullUntilMs) {
            return false;
        }
        return nowMs - loadToldMs > LOAD_MS || toldBusy < toldSlots + QUEUE;
    }

    /** Requests there as far as known: this proxy's, and what it told lately. */
    double load(double nowMs) {
        double told = nowMs - loadToldMs > LOAD_MS || toldSlots == 0 ? 0 : (double) toldBusy / toldSlots;
        return inFlight + Math.min(told, 0.99);
    }

    /** Its share of keys: less while cold and where it is slower than the others. */
    double share(double nowMs, double othersMs) {
        double cold = nowMs < instance.coldUntilMs() ? COLD_SHARE : 1;
        double slow = Double.isNaN(usualMs) || Double.isNaN(othersMs) || usualMs <= 0 ? 1 : othersMs / usualMs;
        return cold * Math.max(SLOWEST_SHARE, Math.min(1, slow * slow));
    }

    /** A draw that depends on the instance and a key alone. */
    double draw(long key) {
        return RendezvousHash.unitInterval(hash ^ key);
    }

    /** The usual time of an answered attempt, in milliseconds; not a number before the first. */
    public double usualMs() {
        return usualMs;
    }

    /** A time by which nearly every attempt is answered, in milliseconds; not a number before the first. */
    public double lateMs() {
        return usualMs + 4 * deviationMs;
    }

    /** When a connection to it last broke, in milliseconds. */
    public double lastBrokenMs() {
        return lastBrokenMs;
    }

    /** A request of this proxy goes there. */
    public void began() {
        inFlight++;
    }

    /** It told its load with an answer: requests running and waiting, and its slots. */
    public void toldLoad(double nowMs, int running, int waiting, int slots) {
        loadToldMs = nowMs;
        toldBusy = Math.max(0, running + waiting);
        toldSlots = slots;
    }

    /** A request of this proxy was taken back before anything of it could be judged. */
    public void withdrawn() {
        inFlight = Math.max(0, inFlight - 1);
    }

    /**
     * A request of this proxy ended.
     *
     * @param elapsedMs how long it took from its writing, in milliseconds
     * @param failedInside whether it was answered with a 5xx of the instance's own
     * @param maySpare whether enough others are left to leave this one alone
     */
    public void ended(double nowMs, Verdict verdict, double elapsedMs, boolean failedInside, boolean maySpare) {
        inFlight = Math.max(0, inFlight - 1);
        switch (verdict) {
            case ANSWERED -> answered(nowMs, elapsedMs, failedInside, maySpare);
            case DECLINED -> fullUntilMs = nowMs + FULL_MS;
            case REFUSED_BY_CACHE -> answered(nowMs, elapsedMs, false, maySpare);
            case MISDIRECTED -> goneUntilMs = nowMs + MISDIRECTED_MS;
            case SILENT -> strike(nowMs, 1, maySpare);
            case GARBLED -> spoil(nowMs, maySpare);
            case CONNECT_FAILED, RESET, NEVER_WRITTEN -> {
                lastBrokenMs = nowMs;
                strike(nowMs, verdict == Verdict.CONNECT_FAILED ? STRIKES : 1, maySpare);
            }
            default -> throw new IllegalArgumentException(verdict.name());
        }
    }

    private void answered(double nowMs, double elapsedMs, boolean failedInside, boolean maySpare) {
        onTrial = false;
        strikes = 0;
        time(elapsedMs);
        if (failedInside) {
            spoil(nowMs, maySpare);
        } else {
            spoilt -= SMOOTH * spoilt;
            ejections = spoilt < SMOOTH ? 0 : ejections;
        }
    }

    private void time(double elapsedMs) {
        if (Double.isNaN(usualMs)) {
            usualMs = elapsedMs;
            deviationMs = elapsedMs / 2;
        } else {
            deviationMs += SMOOTH * (Math.abs(elapsedMs - usualMs) - deviationMs);
            usualMs += SMOOTH * (elapsedMs - usualMs);
        }
    }

    private void spoil(double nowMs, boolean maySpare) {
        spoilt += SMOOTH * (1 - spoilt);
        if (spoilt > SPOILING && nowMs >= sparedUntilMs) {
            spare(nowMs, ejections++, maySpare);
        }
    }

    private void strike(double nowMs, double weight, boolean maySpare) {
        strikes += weight;
        if (strikes >= STRIKES) {
            spare(nowMs, (int) (strikes - STRIKES), maySpare);
        }
    }

    private void spare(double nowMs, int times, boolean maySpare) {
        if (maySpare) {
            sparedUntilMs = nowMs + Math.min(SPARE_MOST_MS, SPARE_MS * Math.pow(2, times));
            onTrial = true;
        }
    }
}

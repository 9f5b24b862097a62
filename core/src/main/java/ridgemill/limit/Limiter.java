package ridgemill.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a request is admitted, and if not, when its client may retry. The number of buckets is bounded
 * whatever tenant names clients send. Not thread-safe.
 */
public final class Limiter {

    /** The time between two releases that is assumed before any was measured. */
    private static final double INITIAL_RELEASE_INTERVAL_MS = 50;
    /** The weight of the newest time between two releases in their moving average. */
    private static final double RELEASE_INTERVAL_WEIGHT = 0.1;
    /** The longest retry time given for lack of room, as the measured release rate may be out of date. */
    private static final double MAX_RETRY_AFTER_MS = 5000;

    /** The limit that refuses a request. */
    public enum Reason { IN_FLIGHT, QUEUE_FULL, CLASS_IN_FLIGHT, CLASS_RATE, TENANT_RATE, RETRY_BUDGET }

    /** The decision about a request. */
    public sealed interface Verdict { }

    /** It is admitted; {@link Limiter#ended} must be called when it has its final response. */
    public record Admitted() implements Verdict { }

    /**
     * It is queued: {@link Limiter#admitNext} returns it when its turn comes; otherwise {@link Limiter#withdraw} must
     * be called.
     *
     * @param maxWaitMs how long it may wait
     * @param displaced another queued request that lost its place to this one and is refused; null if none did
     */
    public record Queued(double maxWaitMs, String displaced) implements Verdict { }

    /** It is refused and nothing ran. {@code retryAfterMs} follows from the limit that refuses it and is above 0. */
    public record Refused(Reason reason, double retryAfterMs) implements Verdict { }

    private static final Admitted ADMITTED = new Admitted();

    private final Map<String, TokenBucket> classBuckets = new HashMap<>();
    private final Map<String, TokenBucket> tenantBuckets = new HashMap<>();
    private final UnknownTenantBuckets unknownTenantBuckets = new UnknownTenantBuckets();
    private final Map<String, Integer> classInFlight = new HashMap<>();
    private RetryBudget retryBudget;
    private Limits limits;
    private final FairQueue queue = new FairQueue();
    private final Map<String, QueuedRequest> queued = new HashMap<>();
    private double releaseIntervalMs = INITIAL_RELEASE_INTERVAL_MS;
    private double lastReleaseMs = Double.NaN;
    private int inFlight;
    /** This loop's share if several loops enforce the limits together; null if there is only one. */
    private final LoopShare share;

    /** A queued request, and the buckets that it took a token from. */
    private record QueuedRequest(String service, TokenBucket tenantBucket, TokenBucket classBucket) { }

    public Limiter(Limits limits, double nowMs) {
        this(limits, nowMs, null);
    }

    /** Enforces limits together with the limiters of other loops of this process, each of which has a share. */
    public Limiter(Limits limits, double nowMs, LoopShare share) {
        this.limits = limits;
        this.share = share;
        this.retryBudget = limits.retryBudget() == null ? null : new RetryBudget(retryConfig(limits), nowMs);
    }

    /**
     * Decides on a request. Limits that are cheap to check come first, and a token that was taken from one limit is
     * given back if the next one refuses, so that a refused request counts against no limit.
     *
     * @param id under which {@link #admitNext} returns it
     * @param tenant null if it names none; such requests count as one more unnamed tenant
     * @param retry whether the client marked it as a retry
     */
    public Verdict admit(double nowMs, String id, String tenant, String service, boolean retry) {
        // A new request must not overtake queued ones.
        boolean full = isFull() || !queue.isEmpty();
        if (full && limits.queue() == null) {
            recordRefusal(LimitKey.ALL_IN_FLIGHT);
            return new Refused(Reason.IN_FLIGHT, retryAfterMs(0));
        }
        Integer maxInFlight = limits.classInFlight().get(service);
        if (maxInFlight != null && isFull(service, maxInFlight)) {
            return new Refused(Reason.CLASS_IN_FLIGHT, retryAfterMs(0));
        }
        TokenBucket tenantBucket = tenantBucket(nowMs, tenant);
        if (tenantBucket != null && !tryTake(tenantBucket, nowMs, share == null ? null : tenantKey(tenant))) {
            return new Refused(Reason.TENANT_RATE, tenantBucket.waitMs(nowMs));
        }
        TokenBucket classBucket = classBucket(nowMs, service);
        if (classBucket != null && !tryTake(classBucket, nowMs,
                share == null ? null : new LimitKey(LimitKey.Kind.CLASS_RATE, service))) {
            giveBack(tenantBucket, nowMs);
            return new Refused(Reason.CLASS_RATE, classBucket.waitMs(nowMs));
        }
        if (retryBudget != null && retry && !retryBudget.tryRetry(nowMs)) {
            giveBack(tenantBucket, nowMs);
            giveBack(classBucket, nowMs);
            return new Refused(Reason.RETRY_BUDGET, Math.max(1, retryBudget.waitMs(nowMs)));
        }
        if (full && queue.offer(id, tenant == null ? "" : tenant, queueCapacity()) == FairQueue.OfferResult.FULL) {
            giveBack(tenantBucket, nowMs);
            giveBack(classBucket, nowMs);
            recordRefusal(LimitKey.ALL_IN_FLIGHT);
            return new Refused(Reason.QUEUE_FULL, retryAfterMs(queue.size()));
        }
        if (retryBudget != null && !retry) {
            retryBudget.recordFirstTry(nowMs);
        }
        classInFlight.merge(service, 1, Integer::sum);
        if (full) {
            String displaced = queue.displaced();
            if (displaced != null) {
                removeQueued(nowMs, displaced);
            }
            queued.put(id, new QueuedRequest(service, tenantBucket, classBucket));
            return new Queued(limits.queue().maxWaitMs(), displaced);
        }
        inFlight++;
        return ADMITTED;
    }

    /** An admitted request of this class has its final response. */
    public void ended(double nowMs, String service) {
        if (!Double.isNaN(lastReleaseMs)) {
            releaseIntervalMs += RELEASE_INTERVAL_WEIGHT
                    * (Math.min(MAX_RETRY_AFTER_MS, nowMs - lastReleaseMs) - releaseIntervalMs);
        }
        lastReleaseMs = nowMs;
        inFlight--;
        classRequestLeft(service);
    }

    /**
     * Admits the next queued request if there is room, and returns its id; null if there is none. Call it until it
     * returns null.
     */
    public String admitNext() {
        if (queue.isEmpty() || isFull()) {
            return null;
        }
        String id = queue.poll();
        queued.remove(id);
        inFlight++;
        return id;
    }

    /**
     * Removes a queued request before its turn, because its client disconnected or it has waited too long. Its tokens
     * are given back.
     *
     * @return when a similar request may be retried, in milliseconds
     */
    public double withdraw(double nowMs, String id) {
        if (queue.remove(id)) {
            removeQueued(nowMs, id);
        }
        return retryAfterMs(queue.size());
    }

    private void removeQueued(double nowMs, String id) {
        QueuedRequest removed = queued.remove(id);
        giveBack(removed.tenantBucket(), nowMs);
        giveBack(removed.classBucket(), nowMs);
        classRequestLeft(removed.service());
    }

    private void classRequestLeft(String service) {
        classInFlight.computeIfPresent(service, (s, n) -> n > 1 ? n - 1 : null);
    }

    /** When there may be room behind this many others, estimated from the recent release rate. */
    private double retryAfterMs(int ahead) {
        return Math.max(1, Math.min(MAX_RETRY_AFTER_MS, (ahead + 1) * releaseIntervalMs));
    }

    /**
     * Applies other limits. Requests in flight keep counting. A bucket whose rate is unchanged keeps its tokens, one
     * whose rate changes keeps them up to the new burst, and a new one is full.
     */
    public void changeTo(Limits next, double nowMs) {
        if (share != null) {
            share.limitsChanged(limits, next);
        }
        limits = next;
        updateBuckets(classBuckets, LimitKey.Kind.CLASS_RATE, next.classRate(), nowMs);
        updateBuckets(tenantBuckets, LimitKey.Kind.TENANT_RATE, next.tenantRate(), nowMs);
        unknownTenantBuckets.changeTo(next.unknownTenantRate(), nowMs,
                (name, whole) -> shareOf(LimitKey.Kind.UNKNOWN_TENANT, name, whole));
        if (next.retryBudget() == null) {
            retryBudget = null;
        } else if (retryBudget == null) {
            retryBudget = new RetryBudget(retryConfig(next), nowMs);
        } else if (!retryBudget.config().equals(retryConfig(next))) {
            retryBudget.changeTo(retryConfig(next), nowMs);
        }
    }

    private RetryBudget.Config retryConfig(Limits from) {
        return share == null ? from.retryBudget() : share.retryBudget(from.retryBudget());
    }

    // Limits shared with other loops.

    private boolean isFull() {
        return inFlight >= (share == null
                ? limits.inFlight() : share.inFlightLimit(LimitKey.ALL_IN_FLIGHT, limits.inFlight()));
    }

    private boolean isFull(String service, int whole) {
        int count = classInFlight.getOrDefault(service, 0);
        if (share == null) {
            return count >= whole;
        }
        LimitKey key = new LimitKey(LimitKey.Kind.CLASS_IN_FLIGHT, service);
        boolean full = count >= share.inFlightLimit(key, whole);
        if (full) {
            recordRefusal(key);
        }
        return full;
    }

    private int queueCapacity() {
        return share == null ? limits.queue().capacity() : share.queueCapacity(limits.queue().capacity());
    }

    private Rate shareOf(LimitKey.Kind kind, String name, Rate whole) {
        return share == null ? whole : share.rate(new LimitKey(kind, name), whole);
    }

    private void recordRefusal(LimitKey key) {
        if (share != null) {
            share.counters(key).refused++;
        }
    }

    private boolean tryTake(TokenBucket bucket, double nowMs, LimitKey key) {
        boolean taken = bucket.tryTake(nowMs);
        if (key != null) {
            LoopShare.UsageCounters c = share.counters(key);
            c.requested++;
            c.refused += taken ? 0 : 1;
        }
        return taken;
    }

    private LimitKey tenantKey(String tenant) {
        return tenant != null && limits.tenantRate().containsKey(tenant)
                ? new LimitKey(LimitKey.Kind.TENANT_RATE, tenant)
                : new LimitKey(LimitKey.Kind.UNKNOWN_TENANT, tenant == null ? "" : tenant);
    }

    /** The bucket of a shared rate, if it exists. */
    private TokenBucket bucket(LimitKey key) {
        return switch (key.kind()) {
            case CLASS_RATE -> classBuckets.get(key.name());
            case TENANT_RATE -> tenantBuckets.get(key.name());
            case UNKNOWN_TENANT -> unknownTenantBuckets.ownBucket(key.name());
            default -> null;
        };
    }

    private void ensureBucket(LimitKey key, double nowMs) {
        switch (key.kind()) {
            case CLASS_RATE -> classBucket(nowMs, key.name());
            case TENANT_RATE, UNKNOWN_TENANT -> tenantBucket(nowMs, key.name());
            default -> { }
        }
    }

    /** Reports this loop's usage since its last report. */
    public LoopShare.UsageReport report(double nowMs) {
        Map<LimitKey, LoopShare.Usage> uses = new HashMap<>();
        Map<LimitKey, LoopShare.UsageCounters> counted = share.drainCounters();
        counted.forEach((key, c) -> {
            if (key.kind().isCount()) {
                uses.put(key, new LoopShare.Usage(c.requested, c.refused, inFlightOf(key), 0));
            } else {
                TokenBucket b = bucket(key);
                uses.put(key, new LoopShare.Usage(c.requested, c.refused, b == null ? 0 : b.tokens(nowMs), c.spare));
            }
        });
        // Requests in flight are reported even if no request has arrived since the last report.
        if (limits.inFlight() < Integer.MAX_VALUE) {
            uses.putIfAbsent(LimitKey.ALL_IN_FLIGHT, new LoopShare.Usage(0, 0, inFlight, 0));
        }
        limits.classInFlight().keySet().forEach(name -> uses.computeIfAbsent(
                new LimitKey(LimitKey.Kind.CLASS_IN_FLIGHT, name),
                key -> new LoopShare.Usage(0, 0, inFlightOf(key), 0)));
        return new LoopShare.UsageReport(share.lastGrant(), nowMs, uses);
    }

    /** Reports this loop's requests in flight, between two usage reports. */
    public LoopShare.InFlightReport inFlightReport() {
        Map<LimitKey, Integer> inFlightByLimit = new HashMap<>();
        inFlightByLimit.put(LimitKey.ALL_IN_FLIGHT, inFlight);
        limits.classInFlight().keySet().forEach(name -> {
            LimitKey key = new LimitKey(LimitKey.Kind.CLASS_IN_FLIGHT, name);
            inFlightByLimit.put(key, inFlightOf(key));
        });
        return new LoopShare.InFlightReport(share.lastGrant(), inFlightByLimit);
    }

    private int inFlightOf(LimitKey key) {
        return key.kind() == LimitKey.Kind.IN_FLIGHT ? inFlight : classInFlight.getOrDefault(key.name(), 0);
    }

    /** Applies another share; queued requests may have room under it. */
    public void apply(LoopShare.Grant grant, double nowMs) {
        // A bucket that was not used yet is full, and the tokens that a smaller share cuts off must be reported as
        // spare.
        grant.rateFractions().keySet().forEach(key -> ensureBucket(key, nowMs));
        share.apply(grant);
        grant.rateFractions().keySet().forEach(key -> {
            Rate whole = LimitKey.rate(limits, key);
            TokenBucket bucket = whole == null ? null : bucket(key);
            if (bucket != null) {
                double cut = bucket.changeTo(share.rate(key, whole), nowMs);
                if (cut > 0) {
                    share.counters(key).spare += cut;
                }
            }
        });
        grant.tokens().forEach((key, tokens) -> {
            TokenBucket bucket = LimitKey.rate(limits, key) == null ? null : bucket(key);
            double excess = bucket == null ? tokens : bucket.add(tokens, nowMs);
            if (excess > 0) {
                share.counters(key).spare += excess;
            }
        });
    }

    /** The number of queued requests. */
    public int queueLength() {
        return queue.size();
    }

    /** The number of admitted requests without a final response. */
    public int inFlight() {
        return inFlight;
    }

    private void updateBuckets(Map<String, TokenBucket> buckets, LimitKey.Kind kind, Map<String, Rate> rates,
            double nowMs) {
        buckets.keySet().retainAll(rates.keySet());
        buckets.forEach((name, bucket) -> {
            Rate next = shareOf(kind, name, rates.get(name));
            if (!bucket.rate().equals(next)) {
                bucket.changeTo(next, nowMs);
            }
        });
    }

    private TokenBucket newBucket(LimitKey.Kind kind, String name, Rate whole, double nowMs) {
        if (share == null) {
            return new TokenBucket(whole, nowMs);
        }
        LimitKey key = new LimitKey(kind, name);
        return new TokenBucket(share.rate(key, whole), share.initialTokens(key, whole), nowMs);
    }

    private TokenBucket classBucket(double nowMs, String service) {
        Rate rate = limits.classRate().get(service);
        return rate == null ? null : classBuckets.computeIfAbsent(service,
                s -> newBucket(LimitKey.Kind.CLASS_RATE, s, rate, nowMs));
    }

    private TokenBucket tenantBucket(double nowMs, String tenant) {
        Rate rate = tenant == null ? null : limits.tenantRate().get(tenant);
        if (rate != null) {
            return tenantBuckets.computeIfAbsent(tenant, t -> newBucket(LimitKey.Kind.TENANT_RATE, t, rate, nowMs));
        }
        return limits.unknownTenantRate() == null ? null
                : unknownTenantBuckets.bucketFor(tenant == null ? "" : tenant, nowMs,
                        name -> newBucket(LimitKey.Kind.UNKNOWN_TENANT, name, limits.unknownTenantRate(), nowMs));
    }

    private static void giveBack(TokenBucket bucket, double nowMs) {
        if (bucket != null) {
            bucket.giveBack(nowMs);
        }
    }
}

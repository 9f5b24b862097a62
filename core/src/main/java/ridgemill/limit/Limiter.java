package ridgemill.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a request may go on to the decisions, and if not, when to come back. It has a bounded number of
 * buckets whatever names clients send. Not safe for use by several threads.
 */
public final class Limiter {

    /** How long room takes to come where no answer has been seen to make any. */
    private static final double INITIAL_RELEASE_INTERVAL_MS = 50;
    /** What one gap between two answers counts for against those before it. */
    private static final double RELEASE_INTERVAL_WEIGHT = 0.1;
    /** Nobody is told to come back later than this for want of room: what was measured may be long past. */
    private static final double MAX_RETRY_AFTER_MS = 5000;

    /** Which limit refuses. */
    public enum Reason { IN_FLIGHT, QUEUE_FULL, CLASS_IN_FLIGHT, CLASS_RATE, TENANT_RATE, RETRY_BUDGET }

    /** What becomes of a request. */
    public sealed interface Verdict { }

    /** It may go on; {@link Limiter#ended} is owed when it has its final answer. */
    public record Admitted() implements Verdict { }

    /**
     * It stands in line: {@link Limiter#admitNext} names it when its turn comes, or {@link Limiter#withdraw} is owed.
     *
     * @param maxWaitMs how long it may wait at most
     * @param displaced another that lost its place in line for it and is turned away; null if none did
     */
    public record Queued(double maxWaitMs, String displaced) implements Verdict { }

    /** It is turned away; nothing ran. {@code retryAfterMs} follows from the limit that refuses and is above 0. */
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
    /** What this loop may use where several keep the limits together; null where there is one. */
    private final LoopShare share;

    /** One in line, and the buckets that it has a token of. */
    private record QueuedRequest(String service, TokenBucket tenantBucket, TokenBucket classBucket) { }

    public Limiter(Limits limits, double nowMs) {
        this(limits, nowMs, null);
    }

    /** Keeps limits together with the limiters of other loops of this process, of which each has a share. */
    public Limiter(Limits limits, double nowMs, LoopShare share) {
        this.limits = limits;
        this.share = share;
        this.retryBudget = limits.retryBudget() == null ? null : new RetryBudget(retryConfig(limits), nowMs);
    }

    /**
     * Decides on a request. Limits that cost nothing to ask come first, and a token that one limit gave goes back if the
     * next refuses, so that a request that is turned away counts against nobody.
     *
     * @param id by which it is named when it comes out of the line
     * @param tenant null where it names none, which is a tenant like any other that is not named
     * @param retry whether it is marked as a client's retry
     */
    public Verdict admit(double nowMs, String id, String tenant, String service, boolean retry) {
        // Nobody overtakes those in line.
        boolean full = isFull() || !queue.isEmpty();
        if (full && limits.queue() == null) {
            recordRefusal(LimitKey.ALL_IN_FLIGHT);
            return new Refused(Reason.IN_FLIGHT, retryAfterMs(0));
        }
        Integer most = limits.classInFlight().get(service);
        if (most != null && isFull(service, most)) {
            return new Refused(Reason.CLASS_IN_FLIGHT, retryAfterMs(0));
        }
        TokenBucket ofTenant = tenantBucket(nowMs, tenant);
        if (ofTenant != null && !tryTake(ofTenant, nowMs, share == null ? null : tenantKey(tenant))) {
            return new Refused(Reason.TENANT_RATE, ofTenant.waitMs(nowMs));
        }
        TokenBucket ofClass = classBucket(nowMs, service);
        if (ofClass != null && !tryTake(ofClass, nowMs, share == null ? null : new LimitKey(LimitKey.Kind.CLASS_RATE, service))) {
            giveBack(ofTenant, nowMs);
            return new Refused(Reason.CLASS_RATE, ofClass.waitMs(nowMs));
        }
        if (retryBudget != null && retry && !retryBudget.tryRetry(nowMs)) {
            giveBack(ofTenant, nowMs);
            giveBack(ofClass, nowMs);
            return new Refused(Reason.RETRY_BUDGET, Math.max(1, retryBudget.waitMs(nowMs)));
        }
        if (full && queue.offer(id, tenant == null ? "" : tenant, queueCapacity()) == FairQueue.OfferResult.FULL) {
            giveBack(ofTenant, nowMs);
            giveBack(ofClass, nowMs);
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
            queued.put(id, new QueuedRequest(service, ofTenant, ofClass));
            return new Queued(limits.queue().maxWaitMs(), displaced);
        }
        inFlight++;
        return ADMITTED;
    }

    /** A request of this class that was admitted has its final answer. */
    public void ended(double nowMs, String service) {
        if (!Double.isNaN(lastReleaseMs)) {
            releaseIntervalMs += RELEASE_INTERVAL_WEIGHT * (Math.min(MAX_RETRY_AFTER_MS, nowMs - lastReleaseMs) - releaseIntervalMs);
        }
        lastReleaseMs = nowMs;
        inFlight--;
        classRequestLeft(service);
    }

    /** Names one in line whose turn it is, which is admitted with that; null where none has it. To be asked till then. */
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
     * One in line leaves it without its turn: its client has gone, or it has waited for long enough. Its tokens go back.
     *
     * @return when one like it may come back, in milliseconds
     */
    public double withdraw(double nowMs, String id) {
        if (queue.remove(id)) {
            removeQueued(nowMs, id);
        }
        return retryAfterMs(queue.size());
    }

    private void removeQueued(double nowMs, String id) {
        QueuedRequest gone = queued.remove(id);
        giveBack(gone.tenantBucket(), nowMs);
        giveBack(gone.classBucket(), nowMs);
        classRequestLeft(gone.service());
    }

    private void classRequestLeft(String service) {
        classInFlight.computeIfPresent(service, (s, n) -> n > 1 ? n - 1 : null);
    }

    /** When there may be room for one behind so many others, by how fast answers have made room of late. */
    private double retryAfterMs(int before) {
        return Math.max(1, Math.min(MAX_RETRY_AFTER_MS, (before + 1) * releaseIntervalMs));
    }

    /**
     * Goes on under other limits. Requests in flight go on counting; a bucket whose rate stays keeps what it holds, one
     * whose rate changes keeps it up to the new burst, and one that is new is full.
     */
    public void changeTo(Limits next, double nowMs) {
        if (share != null) {
            share.limitsChanged(limits, next);
        }
        limits = next;
        updateBuckets(classBuckets, LimitKey.Kind.CLASS_RATE, next.classRate(), nowMs);
        updateBuckets(tenantBuckets, LimitKey.Kind.TENANT_RATE, next.tenantRate(), nowMs);
        unknownTenantBuckets.changeTo(next.unknownTenantRate(), nowMs, (name, whole) -> shareOf(LimitKey.Kind.UNKNOWN_TENANT, name, whole));
        if (next.retryBudget() == null) {
            retryBudget = null;
        } else if (retryBudget == null) {
            retryBudget = new RetryBudget(retryConfig(next), nowMs);
        } else if (!retryBudget.config().equals(retryConfig(next))) {
            retryBudget.changeTo(retryConfig(next), nowMs);
        }
    }

    private RetryBudget.Config retryConfig(Limits of) {
        return share == null ? of.retryBudget() : share.retryBudget(of.retryBudget());
    }

    // What is shared with other loops.

    private boolean isFull() {
        return inFlight >= (share == null ? limits.inFlight() : share.inFlightLimit(LimitKey.ALL_IN_FLIGHT, limits.inFlight()));
    }

    private boolean isFull(String service, int whole) {
        int there = classInFlight.getOrDefault(service, 0);
        if (share == null) {
            return there >= whole;
        }
        LimitKey key = new LimitKey(LimitKey.Kind.CLASS_IN_FLIGHT, service);
        boolean full = there >= share.inFlightLimit(key, whole);
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
        boolean there = bucket.tryTake(nowMs);
        if (key != null) {
            LoopShare.UsageCounters c = share.counters(key);
            c.requested++;
            c.refused += there ? 0 : 1;
        }
        return there;
    }

    private LimitKey tenantKey(String tenant) {
        return tenant != null && limits.tenantRate().containsKey(tenant) ? new LimitKey(LimitKey.Kind.TENANT_RATE, tenant)
                : new LimitKey(LimitKey.Kind.UNKNOWN_TENANT, tenant == null ? "" : tenant);
    }

    /** The bucket of a rate that is shared, if there is one. */
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

    /** Tells what this loop used since it last told. */
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
        // What is in flight counts whether or not anybody asked since.
        if (limits.inFlight() < Integer.MAX_VALUE) {
            uses.putIfAbsent(LimitKey.ALL_IN_FLIGHT, new LoopShare.Usage(0, 0, inFlight, 0));
        }
        limits.classInFlight().keySet().forEach(name -> uses.computeIfAbsent(new LimitKey(LimitKey.Kind.CLASS_IN_FLIGHT, name),
                key -> new LoopShare.Usage(0, 0, inFlightOf(key), 0)));
        return new LoopShare.UsageReport(share.lastGrant(), nowMs, uses);
    }

    /** Tells what this loop has in flight, between two reports. */
    public LoopShare.InFlightReport inFlightReport() {
        Map<LimitKey, Integer> there = new HashMap<>();
        there.put(LimitKey.ALL_IN_FLIGHT, inFlight);
        limits.classInFlight().keySet().forEach(name -> {
            LimitKey key = new LimitKey(LimitKey.Kind.CLASS_IN_FLIGHT, name);
            there.put(key, inFlightOf(key));
        });
        return new LoopShare.InFlightReport(share.lastGrant(), there);
    }

    private int inFlightOf(LimitKey key) {
        return key.kind() == LimitKey.Kind.IN_FLIGHT ? inFlight : classInFlight.getOrDefault(key.name(), 0);
    }

    /** May use another share from now on; those in line may have room with it. */
    public void apply(LoopShare.Grant grant, double nowMs) {
        // One that nobody has asked for yet is full, and what a smaller part cuts off it is for others too.
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
            double back = bucket == null ? tokens : bucket.add(tokens, nowMs);
            if (back > 0) {
                share.counters(key).spare += back;
            }
        });
    }

    /** How many stand in line. */
    public int queueLength() {
        return queue.size();
    }

    /** Requests that were admitted and have no final answer yet. */
    public int inFlight() {
        return inFlight;
    }

    private void updateBuckets(Map<String, TokenBucket> buckets, LimitKey.Kind kind, Map<String, Rate> rates, double nowMs) {
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

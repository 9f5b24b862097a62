package ridgemill.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a request may go on to the decisions, and if not, when to come back. It has a bounded number of
 * buckets whatever names clients send: tenants that are not named share a fixed number of buckets by the hash of their
 * name, so that making up names gains nothing. Not safe for use by several threads.
 */
public final class Limiter {

    /** Buckets for tenants that are not named. */
    static final int UNKNOWN_BUCKETS = 256;
    /** When to come back where only an answer to another makes room: about the time that one takes. */
    private static final double ROOM_MS = 50;

    /** Which limit refuses. */
    public enum Reason { IN_FLIGHT, CLASS_IN_FLIGHT, CLASS_RATE, TENANT_RATE, RETRY_BUDGET }

    /** What becomes of a request. */
    public sealed interface Verdict { }

    /** It may go on; {@link Limiter#ended} is owed when it has its final answer. */
    public record Admitted() implements Verdict { }

    /** It is turned away; nothing ran. {@code retryAfterMs} follows from the limit that refuses and is above 0. */
    public record Refused(Reason reason, double retryAfterMs) implements Verdict { }

    private static final Admitted ADMITTED = new Admitted();

    private final Map<String, TokenBucket> classBuckets = new HashMap<>();
    private final Map<String, TokenBucket> tenantBuckets = new HashMap<>();
    private final TokenBucket[] unknown = new TokenBucket[UNKNOWN_BUCKETS];
    private final Map<String, Integer> classInFlight = new HashMap<>();
    private RetryBudget retries;
    private Limits limits;
    private int inFlight;

    public Limiter(Limits limits, double nowMs) {
        this.limits = limits;
        this.retries = limits.retries() == null ? null : new RetryBudget(limits.retries(), nowMs);
    }

    /**
     * Decides on a request. Limits that cost nothing to ask come first, and a token that one limit gave goes back if the
     * next refuses, so that a request that is turned away counts against nobody.
     *
     * @param tenant null where it names none, which is a tenant like any other that is not named
     * @param retry whether it is marked as a client's retry
     */
    public Verdict admit(double nowMs, String tenant, String service, boolean retry) {
        if (inFlight >= limits.inFlight()) {
            return new Refused(Reason.IN_FLIGHT, ROOM_MS);
        }
        Integer most = limits.classInFlight().get(service);
        if (most != null && classInFlight.getOrDefault(service, 0) >= most) {
            return new Refused(Reason.CLASS_IN_FLIGHT, ROOM_MS);
        }
        TokenBucket ofTenant = tenantBucket(nowMs, tenant);
        if (ofTenant != null && !ofTenant.tryTake(nowMs)) {
            return new Refused(Reason.TENANT_RATE, ofTenant.waitMs(nowMs));
        }
        TokenBucket ofClass = classBucket(nowMs, service);
        if (ofClass != null && !ofClass.tryTake(nowMs)) {
            giveBack(ofTenant, nowMs);
            return new Refused(Reason.CLASS_RATE, ofClass.waitMs(nowMs));
        }
        if (retries != null && retry && !retries.tryRetry(nowMs)) {
            giveBack(ofTenant, nowMs);
            giveBack(ofClass, nowMs);
            return new Refused(Reason.RETRY_BUDGET, Math.max(1, retries.waitMs(nowMs)));
        }
        if (retries != null && !retry) {
            retries.firstTry(nowMs);
        }
        inFlight++;
        classInFlight.merge(service, 1, Integer::sum);
        return ADMITTED;
    }

    /** A request of this class that was admitted has its final answer. */
    public void ended(String service) {
        inFlight--;
        classInFlight.computeIfPresent(service, (s, n) -> n > 1 ? n - 1 : null);
    }

    /**
     * Goes on under other limits. Requests in flight go on counting; a bucket whose rate stays keeps what it holds, one
     * whose rate changes keeps it up to the new burst, and one that is new is full.
     */
    public void changeTo(Limits next, double nowMs) {
        limits = next;
        change(classBuckets, next.classRate(), nowMs);
        change(tenantBuckets, next.tenantRate(), nowMs);
        for (int i = 0; i < unknown.length; i++) {
            if (next.unknownTenant() == null) {
                unknown[i] = null;
            } else if (unknown[i] != null && !unknown[i].rate().equals(next.unknownTenant())) {
                unknown[i].changeTo(next.unknownTenant(), nowMs);
            }
        }
        if (next.retries() == null) {
            retries = null;
        } else if (retries == null) {
            retries = new RetryBudget(next.retries(), nowMs);
        } else if (!retries.terms().equals(next.retries())) {
            retries.changeTo(next.retries(), nowMs);
        }
    }

    /** Requests that were admitted and have no final answer yet. */
    public int inFlight() {
        return inFlight;
    }

    private static void change(Map<String, TokenBucket> buckets, Map<String, Rate> rates, double nowMs) {
        buckets.keySet().retainAll(rates.keySet());
        buckets.forEach((name, bucket) -> {
            if (!bucket.rate().equals(rates.get(name))) {
                bucket.changeTo(rates.get(name), nowMs);
            }
        });
    }

    private TokenBucket classBucket(double nowMs, String service) {
        Rate rate = limits.classRate().get(service);
        return rate == null ? null : classBuckets.computeIfAbsent(service, s -> new TokenBucket(rate, nowMs));
    }

    private TokenBucket tenantBucket(double nowMs, String tenant) {
        Rate rate = tenant == null ? null : limits.tenantRate().get(tenant);
        if (rate != null) {
            return tenantBuckets.computeIfAbsent(tenant, t -> new TokenBucket(rate, nowMs));
        }
        if (limits.unknownTenant() == null) {
            return null;
        }
        int place = Math.floorMod(spread(tenant == null ? 0 : tenant.hashCode()), UNKNOWN_BUCKETS);
        if (unknown[place] == null) {
            unknown[place] = new TokenBucket(limits.unknownTenant(), nowMs);
        }
        return unknown[place];
    }

    private static int spread(int hash) {
        int h = hash * 0x9e3779b9;
        return h ^ h >>> 15;
    }

    private static void giveBack(TokenBucket bucket, double nowMs) {
        if (bucket != null) {
            bucket.giveBack(nowMs);
        }
    }
}

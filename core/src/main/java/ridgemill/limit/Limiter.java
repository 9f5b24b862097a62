package ridgemill.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a request may go on to the decisions, and if not, when to come back. It has a bounded number of
 * buckets whatever names clients send. Not safe for use by several threads.
 */
public final class Limiter {

    /** How long room takes to come where no answer has been seen to make any. */
    private static final double FIRST_GAP_MS = 50;
    /** What one gap between two answers counts for against those before it. */
    private static final double GAP_PART = 0.1;
    /** Nobody is told to come back later than this for want of room: what was measured may be long past. */
    private static final double MOST_ROOM_MS = 5000;

    /** Which limit refuses. */
    public enum Reason { IN_FLIGHT, QUEUE_FULL, CLASS_IN_FLIGHT, CLASS_RATE, TENANT_RATE, RETRY_BUDGET }

    /** What becomes of a request. */
    public sealed interface Verdict { }

    /** It may go on; {@link Limiter#ended} is owed when it has its final answer. */
    public record Admitted() implements Verdict { }

    /**
     * It stands in line: {@link Limiter#next} names it when its turn comes, or {@link Limiter#withdrawn} is owed.
     *
     * @param waitMs how long it may wait at most
     * @param displaced another that lost its place in line for it and is turned away; null if none did
     */
    public record Queued(double waitMs, String displaced) implements Verdict { }

    /** It is turned away; nothing ran. {@code retryAfterMs} follows from the limit that refuses and is above 0. */
    public record Refused(Reason reason, double retryAfterMs) implements Verdict { }

    private static final Admitted ADMITTED = new Admitted();

    private final Map<String, TokenBucket> classBuckets = new HashMap<>();
    private final Map<String, TokenBucket> tenantBuckets = new HashMap<>();
    private final UnknownTenants unknown = new UnknownTenants();
    private final Map<String, Integer> classInFlight = new HashMap<>();
    private RetryBudget retries;
    private Limits limits;
    private final FairQueue line = new FairQueue();
    private final Map<String, Standing> standing = new HashMap<>();
    private double gapMs = FIRST_GAP_MS;
    private double lastEndMs = Double.NaN;
    private int inFlight;
    /** What this loop may use where several keep the limits together; null where there is one. */
    private final LoopShare share;

    /** One in line, and the buckets that it has a token of. */
    private record Standing(String service, TokenBucket ofTenant, TokenBucket ofClass) { }

    public Limiter(Limits limits, double nowMs) {
        this(limits, nowMs, null);
    }

    /** Keeps limits together with the limiters of other loops of this process, of which each has a share. */
    public Limiter(Limits limits, double nowMs, LoopShare share) {
        this.limits = limits;
        this.share = share;
        this.retries = limits.retries() == null ? null : new RetryBudget(retryTerms(limits), nowMs);
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
        boolean full = isFull() || !line.isEmpty();
        if (full && limits.queue() == null) {
            lacked(Shared.ALL_IN_FLIGHT);
            return new Refused(Reason.IN_FLIGHT, roomMs(0));
        }
        Integer most = limits.classInFlight().get(service);
        if (most != null && isFull(service, most)) {
            return new Refused(Reason.CLASS_IN_FLIGHT, roomMs(0));
        }
        TokenBucket ofTenant = tenantBucket(nowMs, tenant);
        if (ofTenant != null && !taken(ofTenant, nowMs, share == null ? null : tenantKey(tenant))) {
            return new Refused(Reason.TENANT_RATE, ofTenant.waitMs(nowMs));
        }
        TokenBucket ofClass = classBucket(nowMs, service);
        if (ofClass != null && !taken(ofClass, nowMs, share == null ? null : new Shared(Shared.Kind.CLASS_RATE, service))) {
            giveBack(ofTenant, nowMs);
            return new Refused(Reason.CLASS_RATE, ofClass.waitMs(nowMs));
        }
        if (retries != null && retry && !retries.tryRetry(nowMs)) {
            giveBack(ofTenant, nowMs);
            giveBack(ofClass, nowMs);
            return new Refused(Reason.RETRY_BUDGET, Math.max(1, retries.waitMs(nowMs)));
        }
        if (full && line.offer(id, tenant == null ? "" : tenant, places()) == FairQueue.Place.FULL) {
            giveBack(ofTenant, nowMs);
            giveBack(ofClass, nowMs);
            lacked(Shared.ALL_IN_FLIGHT);
            return new Refused(Reason.QUEUE_FULL, roomMs(line.size()));
        }
        if (retries != null && !retry) {
            retries.firstTry(nowMs);
        }
        classInFlight.merge(service, 1, Integer::sum);
        if (full) {
            String displaced = line.displaced();
            if (displaced != null) {
                leaveLine(nowMs, displaced);
            }
            standing.put(id, new Standing(service, ofTenant, ofClass));
            return new Queued(limits.queue().waitMs(), displaced);
        }
        inFlight++;
        return ADMITTED;
    }

    /** A request of this class that was admitted has its final answer. */
    public void ended(double nowMs, String service) {
        if (!Double.isNaN(lastEndMs)) {
            gapMs += GAP_PART * (Math.min(MOST_ROOM_MS, nowMs - lastEndMs) - gapMs);
        }
        lastEndMs = nowMs;
        inFlight--;
        left(service);
    }

    /** Names one in line whose turn it is, which is admitted with that; null where none has it. To be asked till then. */
    public String next() {
        if (line.isEmpty() || isFull()) {
            return null;
        }
        String id = line.poll();
        standing.remove(id);
        inFlight++;
        return id;
    }

    /**
     * One in line leaves it without its turn: its client has gone, or it has waited for long enough. Its tokens go back.
     *
     * @return when one like it may come back, in milliseconds
     */
    public double withdrawn(double nowMs, String id) {
        if (line.remove(id)) {
            leaveLine(nowMs, id);
        }
        return roomMs(line.size());
    }

    private void leaveLine(double nowMs, String id) {
        Standing gone = standing.remove(id);
        giveBack(gone.ofTenant(), nowMs);
        giveBack(gone.ofClass(), nowMs);
        left(gone.service());
    }

    private void left(String service) {
        classInFlight.computeIfPresent(service, (s, n) -> n > 1 ? n - 1 : null);
    }

    /** When there may be room for one behind so many others, by how fast answers have made room of late. */
    private double roomMs(int before) {
        return Math.max(1, Math.min(MOST_ROOM_MS, (before + 1) * gapMs));
    }

    /**
     * Goes on under other limits. Requests in flight go on counting; a bucket whose rate stays keeps what it holds, one
     * whose rate changes keeps it up to the new burst, and one that is new is full.
     */
    public void changeTo(Limits next, double nowMs) {
        if (share != null) {
            share.changed(limits, next);
        }
        limits = next;
        change(classBuckets, Shared.Kind.CLASS_RATE, next.classRate(), nowMs);
        change(tenantBuckets, Shared.Kind.TENANT_RATE, next.tenantRate(), nowMs);
        unknown.changeTo(next.unknownTenant(), nowMs, (name, whole) -> shareOf(Shared.Kind.UNKNOWN_TENANT, name, whole));
        if (next.retries() == null) {
            retries = null;
        } else if (retries == null) {
            retries = new RetryBudget(retryTerms(next), nowMs);
        } else if (!retries.terms().equals(retryTerms(next))) {
            retries.changeTo(retryTerms(next), nowMs);
        }
    }

    private RetryBudget.Terms retryTerms(Limits of) {
        return share == null ? of.retries() : share.retries(of.retries());
    }

    // What is shared with other loops.

    private boolean isFull() {
        return inFlight >= (share == null ? limits.inFlight() : share.count(Shared.ALL_IN_FLIGHT, limits.inFlight()));
    }

    private boolean isFull(String service, int whole) {
        int there = classInFlight.getOrDefault(service, 0);
        if (share == null) {
            return there >= whole;
        }
        Shared key = new Shared(Shared.Kind.CLASS_IN_FLIGHT, service);
        boolean full = there >= share.count(key, whole);
        if (full) {
            lacked(key);
        }
        return full;
    }

    private int places() {
        return share == null ? limits.queue().places() : share.places(limits.queue().places());
    }

    private Rate shareOf(Shared.Kind kind, String name, Rate whole) {
        return share == null ? whole : share.rate(new Shared(kind, name), whole);
    }

    private void lacked(Shared key) {
        if (share != null) {
            share.counted(key).refused++;
        }
    }

    private boolean taken(TokenBucket bucket, double nowMs, Shared key) {
        boolean there = bucket.tryTake(nowMs);
        if (key != null) {
            LoopShare.Counted c = share.counted(key);
            c.asked++;
            c.refused += there ? 0 : 1;
        }
        return there;
    }

    private Shared tenantKey(String tenant) {
        return tenant != null && limits.tenantRate().containsKey(tenant) ? new Shared(Shared.Kind.TENANT_RATE, tenant)
                : new Shared(Shared.Kind.UNKNOWN_TENANT, tenant == null ? "" : tenant);
    }

    /** The bucket of a rate that is shared, if there is one. */
    private TokenBucket bucket(Shared key) {
        return switch (key.kind()) {
            case CLASS_RATE -> classBuckets.get(key.name());
            case TENANT_RATE -> tenantBuckets.get(key.name());
            case UNKNOWN_TENANT -> unknown.own(key.name());
            default -> null;
        };
    }

    private void made(Shared key, double nowMs) {
        switch (key.kind()) {
            case CLASS_RATE -> classBucket(nowMs, key.name());
            case TENANT_RATE, UNKNOWN_TENANT -> tenantBucket(nowMs, key.name());
            default -> { }
        }
    }

    /** Tells what this loop used since it last told. */
    public LoopShare.Report report(double nowMs) {
        Map<Shared, LoopShare.Use> uses = new HashMap<>();
        Map<Shared, LoopShare.Counted> counted = share.drain();
        counted.forEach((key, c) -> {
            if (key.kind().isCount()) {
                uses.put(key, new LoopShare.Use(c.asked, c.refused, held(key), 0));
            } else {
                TokenBucket b = bucket(key);
                uses.put(key, new LoopShare.Use(c.asked, c.refused, b == null ? 0 : b.tokens(nowMs), c.spare));
            }
        });
        // What is in flight counts whether or not anybody asked since.
        if (limits.inFlight() < Integer.MAX_VALUE) {
            uses.putIfAbsent(Shared.ALL_IN_FLIGHT, new LoopShare.Use(0, 0, inFlight, 0));
        }
        limits.classInFlight().keySet().forEach(name -> uses.computeIfAbsent(new Shared(Shared.Kind.CLASS_IN_FLIGHT, name),
                key -> new LoopShare.Use(0, 0, held(key), 0)));
        return new LoopShare.Report(share.taken(), nowMs, uses);
    }

    /** Tells what this loop has in flight, between two reports. */
    public LoopShare.Held held() {
        Map<Shared, Integer> there = new HashMap<>();
        there.put(Shared.ALL_IN_FLIGHT, inFlight);
        limits.classInFlight().keySet().forEach(name -> {
            Shared key = new Shared(Shared.Kind.CLASS_IN_FLIGHT, name);
            there.put(key, held(key));
        });
        return new LoopShare.Held(share.taken(), there);
    }

    private int held(Shared key) {
        return key.kind() == Shared.Kind.IN_FLIGHT ? inFlight : classInFlight.getOrDefault(key.name(), 0);
    }

    /** May use another share from now on; those in line may have room with it. */
    public void take(LoopShare.Grant grant, double nowMs) {
        // One that nobody has asked for yet is full, and what a smaller part cuts off it is for others too.
        grant.parts().keySet().forEach(key -> made(key, nowMs));
        share.take(grant);
        grant.parts().keySet().forEach(key -> {
            Rate whole = Shared.rate(limits, key);
            TokenBucket bucket = whole == null ? null : bucket(key);
            if (bucket != null) {
                double cut = bucket.changeTo(share.rate(key, whole), nowMs);
                if (cut > 0) {
                    share.counted(key).spare += cut;
                }
            }
        });
        grant.tokens().forEach((key, tokens) -> {
            TokenBucket bucket = Shared.rate(limits, key) == null ? null : bucket(key);
            double back = bucket == null ? tokens : bucket.add(tokens, nowMs);
            if (back > 0) {
                share.counted(key).spare += back;
            }
        });
    }

    /** How many stand in line. */
    public int inLine() {
        return line.size();
    }

    /** Requests that were admitted and have no final answer yet. */
    public int inFlight() {
        return inFlight;
    }

    private void change(Map<String, TokenBucket> buckets, Shared.Kind kind, Map<String, Rate> rates, double nowMs) {
        buckets.keySet().retainAll(rates.keySet());
        buckets.forEach((name, bucket) -> {
            Rate next = shareOf(kind, name, rates.get(name));
            if (!bucket.rate().equals(next)) {
                bucket.changeTo(next, nowMs);
            }
        });
    }

    private TokenBucket fresh(Shared.Kind kind, String name, Rate whole, double nowMs) {
        if (share == null) {
            return new TokenBucket(whole, nowMs);
        }
        Shared key = new Shared(kind, name);
        return new TokenBucket(share.rate(key, whole), share.firstTokens(key, whole), nowMs);
    }

    private TokenBucket classBucket(double nowMs, String service) {
        Rate rate = limits.classRate().get(service);
        return rate == null ? null : classBuckets.computeIfAbsent(service,
                s -> fresh(Shared.Kind.CLASS_RATE, s, rate, nowMs));
    }

    private TokenBucket tenantBucket(double nowMs, String tenant) {
        Rate rate = tenant == null ? null : limits.tenantRate().get(tenant);
        if (rate != null) {
            return tenantBuckets.computeIfAbsent(tenant, t -> fresh(Shared.Kind.TENANT_RATE, t, rate, nowMs));
        }
        return limits.unknownTenant() == null ? null
                : unknown.of(tenant == null ? "" : tenant, nowMs,
                        name -> fresh(Shared.Kind.UNKNOWN_TENANT, name, limits.unknownTenant(), nowMs));
    }

    private static void giveBack(TokenBucket bucket, double nowMs) {
        if (bucket != null) {
            bucket.giveBack(nowMs);
        }
    }
}

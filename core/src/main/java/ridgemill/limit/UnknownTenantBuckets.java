package ridgemill.limit;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * Buckets of tenants that no file names, in bounded memory whatever names come. Each of so many that asked of late has a
 * bucket of its own; one that is full again is no different from a new one, so the tenant that asked longest ago loses its
 * place without a loss once it is. While nobody's is, further names share a fixed number of buckets by their hash, so that
 * making up names gains no more than all these buckets hold. Not safe for use by several threads.
 */
final class UnknownTenantBuckets {

    /** Tenants with a bucket of their own, and buckets that the others share. */
    static final int MAX_OWN_BUCKETS = 256;
    static final int SHARED_BUCKETS = 256;
    /** Longer names get none of their own: they would be what takes the memory. */
    private static final int MAX_NAME_LENGTH = 128;

    /** No client can send it: what the shared buckets are is never lent. */
    private static final String SHARED_BUCKET_NAME = "\n";

    private final Map<String, TokenBucket> ownBuckets = new LinkedHashMap<>(MAX_OWN_BUCKETS, 0.75f, true);
    private final TokenBucket[] sharedBuckets = new TokenBucket[SHARED_BUCKETS];

    /** The bucket of a tenant, one of {@code made} where it is new; one that names itself not has the empty name. */
    TokenBucket bucketFor(String tenant, double nowMs, Function<String, TokenBucket> made) {
        TokenBucket there = ownBuckets.get(tenant);
        if (there != null) {
            return there;
        }
        if (tenant.length() <= MAX_NAME_LENGTH && makeRoom(nowMs)) {
            TokenBucket fresh = made.apply(tenant);
            ownBuckets.put(tenant, fresh);
            return fresh;
        }
        int place = Math.floorMod(spread(tenant.hashCode()), SHARED_BUCKETS);
        if (sharedBuckets[place] == null) {
            sharedBuckets[place] = made.apply(SHARED_BUCKET_NAME);
        }
        return sharedBuckets[place];
    }

    /** The bucket that a tenant has of its own; null where it has none. */
    TokenBucket ownBucket(String tenant) {
        return ownBuckets.get(tenant);
    }

    private boolean makeRoom(double nowMs) {
        if (ownBuckets.size() < MAX_OWN_BUCKETS) {
            return true;
        }
        Iterator<TokenBucket> eldest = ownBuckets.values().iterator();
        TokenBucket bucket = eldest.next();
        if (bucket.tokens(nowMs) < bucket.rate().burst()) {
            return false;
        }
        eldest.remove();
        return true;
    }

    /** Another rate holds, of which each name has what {@code part} says; null for none. */
    void changeTo(Rate rate, double nowMs, BiFunction<String, Rate, Rate> part) {
        if (rate == null) {
            ownBuckets.clear();
        } else {
            ownBuckets.forEach((name, b) -> change(b, part.apply(name, rate), nowMs));
        }
        for (int i = 0; i < sharedBuckets.length; i++) {
            if (rate == null) {
                sharedBuckets[i] = null;
            } else if (sharedBuckets[i] != null) {
                change(sharedBuckets[i], part.apply(SHARED_BUCKET_NAME, rate), nowMs);
            }
        }
    }

    private static void change(TokenBucket bucket, Rate rate, double nowMs) {
        if (!bucket.rate().equals(rate)) {
            bucket.changeTo(rate, nowMs);
        }
    }

    private static int spread(int hash) {
        int h = (hash ^ hash >>> 16) * 0x9e3779b9;
        return h ^ h >>> 15;
    }
}

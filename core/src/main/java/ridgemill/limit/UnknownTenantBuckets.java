package ridgemill.limit;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * Buckets of tenants that the configuration does not name, in bounded memory whatever names clients send. A limited
 * number of recently active tenants have a bucket of their own. A bucket that is full again is no different from a new
 * one, so the tenant that was inactive longest loses its bucket without a loss once it is full. If that bucket is not
 * full, further names share a fixed number of buckets by their hash, so that invented names gain no more than all these
 * buckets hold. Not thread-safe.
 */
final class UnknownTenantBuckets {

    /** The number of tenants with a bucket of their own, and the number of buckets that the others share. */
    static final int MAX_OWN_BUCKETS = 256;
    static final int SHARED_BUCKETS = 256;
    /** Longer names get no bucket of their own, as they would take most of the memory. */
    private static final int MAX_NAME_LENGTH = 128;

    /** No client can send this name, so nothing is ever granted to the shared buckets. */
    private static final String SHARED_BUCKET_NAME = "\n";

    private final Map<String, TokenBucket> ownBuckets = new LinkedHashMap<>(MAX_OWN_BUCKETS, 0.75f, true);
    private final TokenBucket[] sharedBuckets = new TokenBucket[SHARED_BUCKETS];

    /**
     * The bucket of a tenant, made by {@code factory} if it is new. A request that names no tenant has the empty name.
     */
    TokenBucket bucketFor(String tenant, double nowMs, Function<String, TokenBucket> factory) {
        TokenBucket existing = ownBuckets.get(tenant);
        if (existing != null) {
            return existing;
        }
        if (tenant.length() <= MAX_NAME_LENGTH && makeRoom(nowMs)) {
            TokenBucket created = factory.apply(tenant);
            ownBuckets.put(tenant, created);
            return created;
        }
        int index = Math.floorMod(spread(tenant.hashCode()), SHARED_BUCKETS);
        if (sharedBuckets[index] == null) {
            sharedBuckets[index] = factory.apply(SHARED_BUCKET_NAME);
        }
        return sharedBuckets[index];
    }

    /** The tenant's own bucket; null if it has none. */
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

    /** Applies another rate, of which {@code shareOf} gives each name's share; null for none. */
    void changeTo(Rate rate, double nowMs, BiFunction<String, Rate, Rate> shareOf) {
        if (rate == null) {
            ownBuckets.clear();
        } else {
            ownBuckets.forEach((name, b) -> change(b, shareOf.apply(name, rate), nowMs));
        }
        for (int i = 0; i < sharedBuckets.length; i++) {
            if (rate == null) {
                sharedBuckets[i] = null;
            } else if (sharedBuckets[i] != null) {
                change(sharedBuckets[i], shareOf.apply(SHARED_BUCKET_NAME, rate), nowMs);
            }
        }
    }

    private static void change(TokenBucket bucket, Rate rate, double nowMs) {
        if (!bucket.rate().equals(rate)) {
            bucket.changeTo(rate, nowMs);
        }
    }

    private static int spread(int hashCode) {
        int h = (hashCode ^ hashCode >>> 16) * 0x9e3779b9;
        return h ^ h >>> 15;
    }
}

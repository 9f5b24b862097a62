package ridgemill.cdn.config;

/** Checksums that are the same in every process, which an enumeration's own hash code is not. */
public final class Checksum {

    private static final long MULTIPLIER = 0x100000001b3L;

    private Checksum() {}

    /** The checksum of all that came before and one more value. */
    public static long mix(long hash, long value) {
        long mixed = hash * MULTIPLIER + value;
        return mixed ^ mixed >>> 29;
    }
}

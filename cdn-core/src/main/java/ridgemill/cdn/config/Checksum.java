package ridgemill.cdn.config;

/** A checksum with the same value in every process, unlike one built from {@link Object#hashCode} of enum constants. */
public final class Checksum {

    private static final long MULTIPLIER = 0x100000001b3L;

    private Checksum() {}

    /** Adds a value to a checksum. */
    public static long mix(long hash, long value) {
        long mixed = hash * MULTIPLIER + value;
        return mixed ^ mixed >>> 29;
    }
}

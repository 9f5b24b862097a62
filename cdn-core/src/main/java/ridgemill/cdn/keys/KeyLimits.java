package ridgemill.cdn.keys;

/**
 * The limits of a voter's register of operation keys.
 *
 * @param retentionMs how long a record is kept after its last change, in milliseconds
 * @param maxRecords the number of records at which new keys are refused
 * @param maxBytes the size of all records, in bytes, at which new keys are refused
 */
public record KeyLimits(long retentionMs, int maxRecords, long maxBytes) {

    /**
     * How many key windows a record is kept; the excess over one window is far more than the clocks of two machines
     * differ.
     */
    private static final double RETENTION_WINDOWS = 2.5;

    private static final int MAX_RECORDS = 200_000;

    /** The limits for a key window in milliseconds and a maximum size in bytes. */
    public static KeyLimits forWindow(long keyWindowMs, long maxBytes) {
        return new KeyLimits(Math.round(keyWindowMs * RETENTION_WINDOWS), MAX_RECORDS, maxBytes);
    }
}

package ridgemill.gateway.net.resp;

/**
 * Bounds on what one value may take, checked on what it announces before any of it is kept.
 *
 * @param line bytes of a line without its end
 * @param blob bytes of one blob, streamed ones in all
 * @param elements of all aggregates of one value together; a pair of a map counts as two
 * @param depth aggregates within each other
 * @param bytes of one value in all
 */
public record RespLimits(int line, int blob, int elements, int depth, int bytes) {

    private static final int KIB = 1024;

    /** A command of a client: an array of blobs, of which one may be a value. */
    public static final RespLimits COMMAND = new RespLimits(4 * KIB, 64 * KIB, 512, 1, 128 * KIB);
    /** A reply of a node. */
    public static final RespLimits REPLY = new RespLimits(4 * KIB, 64 * KIB, 1024, 16, 256 * KIB);
}

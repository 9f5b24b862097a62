package ridgemill.policy;

/** Hash functions for rendezvous hashing; every process computes the same draw for a key and a node. */
public final class RendezvousHash {

    private RendezvousHash() { }

    /** A 64-bit FNV-1a hash over the text's UTF-16 code units. */
    public static long hashText(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    /** Maps a value to a pseudo-random number in (0, 1]. */
    public static double unitInterval(long value) {
        return ((mix(value) >>> 11) + 1) * 0x1.0p-53;
    }

    /** The 64-bit finalizer of MurmurHash3, in which each input bit affects all output bits. */
    public static long mix(long z) {
        z = (z ^ (z >>> 33)) * 0xff51afd7ed558ccdL;
        z = (z ^ (z >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return z ^ (z >>> 33);
    }
}

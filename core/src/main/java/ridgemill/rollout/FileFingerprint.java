package ridgemill.rollout;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * What a text is known by that goes from proxy to proxy: an operator file without what is each proxy's own.
 *
 * @param number its number
 * @param digest first 64 bits of the digest of what it says
 * @param hashHigh first 64 bits of the SHA-256 of its bytes
 * @param hashLow the next 64
 * @param lengthBytes how many it has
 */
public record FileFingerprint(int number, long digest, long hashHigh, long hashLow, int lengthBytes) {

    /** What a text may have at most: some 300 pieces. */
    public static final int MAX_BYTES = 1 << 16;

    /** The stamp of a text that has been checked: {@code file} and {@code meaning} are what it was found to say. */
    public static FileFingerprint of(int file, long meaning, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        ByteBuffer digest = ByteBuffer.wrap(sha256(bytes));
        return new FileFingerprint(file, meaning, digest.getLong(), digest.getLong(), bytes.length);
    }

    /** Whether these are the bytes. */
    boolean matchesBytes(byte[] text) {
        ByteBuffer digest = ByteBuffer.wrap(sha256(text));
        return text.length == lengthBytes && digest.getLong() == hashHigh && digest.getLong() == hashLow;
    }

    /** Whether a proxy that acts under this acts under the text. */
    public boolean matches(FileVersion acting) {
        return acting.number() == number && acting.digest() == digest;
    }

    /** As people read it. */
    public String text() {
        return "%d.%08x".formatted(number, digest >>> Integer.SIZE);
    }

    private static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java machine has SHA-256", e);
        }
    }

    /**
     * What a proxy acts under.
     *
     * @param number number of its operator file
     * @param digest first 64 bits of the digest of what that says
     */
    public record FileVersion(int number, long digest) {

        /** As people read it. */
        public String text() {
            return "%d.%08x".formatted(number, digest >>> Integer.SIZE);
        }
    }
}

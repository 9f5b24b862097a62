package ridgemill.rollout;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Identifies the text of an operator file that is distributed to the fleet, without the sections that each proxy has of
 * its own.
 *
 * @param number number of the file
 * @param digest first 64 bits of the digest of its parsed contents
 * @param hashHigh first 64 bits of the SHA-256 of its bytes
 * @param hashLow next 64 bits of it
 * @param lengthBytes length of the text
 */
public record FileFingerprint(int number, long digest, long hashHigh, long hashLow, int lengthBytes) {

    /** Maximum length of a text, about 300 chunks. */
    public static final int MAX_BYTES = 1 << 16;

    /** Returns the fingerprint of a validated text, whose number and digest were found by parsing it. */
    public static FileFingerprint of(int number, long digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        ByteBuffer hash = ByteBuffer.wrap(sha256(bytes));
        return new FileFingerprint(number, digest, hash.getLong(), hash.getLong(), bytes.length);
    }

    /** Returns whether this is the fingerprint of these bytes. */
    boolean matchesBytes(byte[] text) {
        ByteBuffer hash = ByteBuffer.wrap(sha256(text));
        return text.length == lengthBytes && hash.getLong() == hashHigh && hash.getLong() == hashLow;
    }

    /** Returns whether a proxy with this version in effect uses the text. */
    public boolean matches(FileVersion version) {
        return version.number() == number && version.digest() == digest;
    }

    /** Returns number and digest as shown to operators, such as {@code 12.5f0c33a1}. */
    public String text() {
        return "%d.%08x".formatted(number, digest >>> Integer.SIZE);
    }

    private static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /**
     * The version in effect at a proxy.
     *
     * @param number number of its operator file
     * @param digest first 64 bits of the digest of the file's parsed contents
     */
    public record FileVersion(int number, long digest) {

        /** Returns number and digest as shown to operators, such as {@code 12.5f0c33a1}. */
        public String text() {
            return "%d.%08x".formatted(number, digest >>> Integer.SIZE);
        }
    }
}

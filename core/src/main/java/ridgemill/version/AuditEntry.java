package ridgemill.version;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * One change in the history of a process. Its digest covers all entries before it, so that an alleged earlier entry can
 * be verified.
 *
 * @param index index in the history, from 0
 * @param atMs time of the change
 * @param description description of the change, without line ends
 * @param digest digest of this entry and of the digest before it
 */
public record AuditEntry(long index, double atMs, String description, String digest) {

    private static final int DIGEST_CHARS = 32;

    /**
     * Returns the digest before a process' first entry, which differs between processes so that they share no entry.
     */
    static String origin(String name, int incarnation) {
        return hash(name + "#" + Integer.toHexString(incarnation));
    }

    static AuditEntry after(String digestBefore, long index, double atMs, String description) {
        return new AuditEntry(index, atMs, description,
                hash(digestBefore + "|" + index + "|" + (long) atMs + "|" + description));
    }

    /** Returns whether this entry follows the one with that digest. */
    boolean follows(String digestBefore) {
        return digest.equals(after(digestBefore, index, atMs, description).digest());
    }

    /** Returns the SHA-256 of a text, cut to 128 bits, as used for all digests of this package. */
    public static String hash(String text) {
        try {
            return HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)))
                    .substring(0, DIGEST_CHARS);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /**
     * Returns the first flaw of a recorded chain: an entry that is missing, duplicated or rewritten; null if there is
     * none.
     *
     * @param digestBefore digest before the first entry; the origin's digest if that entry has index 0
     */
    public static String findFlaw(String digestBefore, List<AuditEntry> entries) {
        List<String> flaws = entries.isEmpty() ? List.of() : findFlaws(digestBefore, entries.get(0).index(), entries);
        return flaws.isEmpty() ? null : flaws.get(0);
    }

    /** Returns all flaws of a chain whose first entry should have this index, after an entry with the given digest. */
    static List<String> findFlaws(String digestBefore, long firstIndex, List<AuditEntry> entries) {
        List<String> flaws = new ArrayList<>();
        String digest = digestBefore;
        long index = firstIndex;
        for (AuditEntry entry : entries) {
            if (entry.index() < index) {
                flaws.add("entry " + entry.index() + " is there twice");
                continue;
            }
            if (entry.index() > index) {
                flaws.add(entry.index() - 1 == index ? "entry " + index + " is missing"
                        : "entries " + index + " to " + (entry.index() - 1) + " are missing");
            } else if (!entry.follows(digest)) {
                flaws.add("entry " + index + " does not follow from the one before it");
            }
            digest = entry.digest();
            index = entry.index() + 1;
        }
        return flaws;
    }
}

package ridgemill.version;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * One change in a process' record, bound to all before it by a digest: whoever has an entry can tell whether another that is said to
 * be before it is.
 *
 * @param index from 0; grows by one
 * @param atMs when it was
 * @param description happened, in words without line ends
 * @param digest of this one and the digest before it
 */
public record AuditEntry(long index, double atMs, String description, String digest) {

    private static final int DIGEST_CHARS = 32;

    /** What is before a process' first entry: its own name and incarnation, so that two processes have no entry in common. */
    static String origin(String name, int incarnation) {
        return hash(name + "#" + Integer.toHexString(incarnation));
    }

    static AuditEntry after(String digestBefore, long index, double atMs, String what) {
        return new AuditEntry(index, atMs, what, hash(digestBefore + "|" + index + "|" + (long) atMs + "|" + what));
    }

    /** Whether this one follows from what was before it. */
    boolean follows(String digestBefore) {
        return digest.equals(after(digestBefore, index, atMs, description).digest());
    }

    /** Digest of a text, as all of this package's: SHA-256, cut to 128 bits. */
    public static String hash(String text) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)))
                    .substring(0, DIGEST_CHARS);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java machine has SHA-256", e);
        }
    }

    /**
     * What is wrong with a record that somebody shows: the first entry that is missing, twice there or rewritten; null where it is
     * whole as far as it goes.
     *
     * @param before the digest of what is before the first; the origin's where that is entry 0
     */
    public static String findFlaw(String before, List<AuditEntry> entries) {
        List<String> flaws = entries.isEmpty() ? List.of() : findFlaws(before, entries.get(0).index(), entries);
        return flaws.isEmpty() ? null : flaws.get(0);
    }

    /** All that is wrong with a record whose first entry should have this index; the digest of what is before that is given. */
    static List<String> findFlaws(String before, long first, List<AuditEntry> entries) {
        List<String> flaws = new ArrayList<>();
        String digest = before;
        long index = first;
        for (AuditEntry e : entries) {
            if (e.index() < index) {
                flaws.add("entry " + e.index() + " is there twice");
                continue;
            }
            if (e.index() > index) {
                flaws.add(e.index() - 1 == index ? "entry " + index + " is missing" : "entries " + index + " to " + (e.index() - 1) + " are missing");
            } else if (!e.follows(digest)) {
                flaws.add("entry " + index + " does not follow from the one before it");
            }
            digest = e.digest();
            index = e.index() + 1;
        }
        return flaws;
    }
}

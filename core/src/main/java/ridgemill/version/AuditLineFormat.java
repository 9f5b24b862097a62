package ridgemill.version;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The record as it is kept in a file: a line for each entry and, at intervals, one with the counts of each version, each with the proxy
 * and the process that wrote it. Several processes may append to one file. What a torn or a missing line leaves out shows as a hole of
 * its process' chain.
 */
public final class AuditLineFormat {

    private static final String ENTRY = "E";
    private static final String COUNTS = "C";
    private static final int ENTRY_WORDS = 6;
    private static final int COUNTS_WORDS = 10;

    /**
     * What one process counted of one version, up to some moment.
     *
     * @param version as nodes are told it
     * @param begun requests taken under it
     * @param attempts of these that were written whole
     */
    public record Counts(String version, double atMs, long begun, long attempts, long served, long refused, long failed, long gone) {

        /** Of two stretches under one version together. */
        public Counts plus(Counts o) {
            return new Counts(version, Math.max(atMs, o.atMs), begun + o.begun, attempts + o.attempts, served + o.served, refused + o.refused,
                    failed + o.failed, gone + o.gone);
        }

        /** Whether both tell the same, whenever that was. */
        public boolean hasSameCounts(Counts o) {
            return begun == o.begun && attempts == o.attempts && served == o.served && refused == o.refused && failed == o.failed && gone == o.gone;
        }
    }

    /** What a file has of one process: {@code holes} in words, none where the chain is whole from its first entry on. */
    public record ProcessRecord(String proxy, int incarnation, List<AuditEntry> entries, Map<String, Counts> counts, List<String> gaps) { }

    private AuditLineFormat() { }

    /** An entry of a process as a line, without its end. */
    public static String line(String proxy, int incarnation, AuditEntry e) {
        return ENTRY + " " + proxy + "#" + Integer.toHexString(incarnation) + " " + e.index() + " " + (long) e.atMs() + " " + e.digest() + " " + e.description();
    }

    /** A version's counts as a line, without its end. */
    public static String line(String proxy, int incarnation, Counts c) {
        return String.join(" ", COUNTS, proxy + "#" + Integer.toHexString(incarnation), c.version(), String.valueOf((long) c.atMs()),
                String.valueOf(c.begun()), String.valueOf(c.attempts()), String.valueOf(c.served()), String.valueOf(c.refused()),
                String.valueOf(c.failed()), String.valueOf(c.gone()));
    }

    /** What the lines of a file tell, by process in the order of their first lines; a line that is none is skipped. */
    public static List<ProcessRecord> read(List<String> lines) {
        Map<String, ProcessRecord> all = new LinkedHashMap<>();
        for (String line : lines) {
            try {
                take(all, line);
            } catch (NumberFormatException e) {
                // A torn line: if it was an entry, its chain shows that.
                continue;
            }
        }
        all.values().forEach(t -> t.gaps().addAll(AuditEntry.findFlaws(AuditEntry.origin(t.proxy(), t.incarnation()), 0, t.entries())));
        return new ArrayList<>(all.values());
    }

    private static void take(Map<String, ProcessRecord> all, String line) {
        String[] words = line.split(" ", line.startsWith(ENTRY + " ") ? ENTRY_WORDS : COUNTS_WORDS);
        int mark = words.length < 2 ? -1 : words[1].lastIndexOf('#');
        if (mark < 0) {
            return;
        }
        int incarnation = Integer.parseUnsignedInt(words[1].substring(mark + 1), 16);
        if (words[0].equals(ENTRY) && words.length == ENTRY_WORDS) {
            AuditEntry entry = new AuditEntry(Long.parseLong(words[2]), Long.parseLong(words[3]), words[5], words[4]);
            told(all, words[1], mark, incarnation).entries().add(entry);
        } else if (words[0].equals(COUNTS) && words.length == COUNTS_WORDS) {
            long[] n = new long[COUNTS_WORDS];
            for (int i = 3; i < COUNTS_WORDS; i++) {
                n[i] = Long.parseLong(words[i]);
            }
            // Later counts of a version take the place of earlier ones: they only grow.
            told(all, words[1], mark, incarnation).counts().put(words[2], new Counts(words[2], n[3], n[4], n[5], n[6], n[7], n[8], n[9]));
        }
    }

    private static ProcessRecord told(Map<String, ProcessRecord> all, String who, int mark, int incarnation) {
        return all.computeIfAbsent(who, w -> new ProcessRecord(who.substring(0, mark), incarnation, new ArrayList<>(), new LinkedHashMap<>(), new ArrayList<>()));
    }
}

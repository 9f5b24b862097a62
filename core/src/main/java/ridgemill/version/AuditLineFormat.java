package ridgemill.version;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Format of the file in which histories are kept. There is a line for each entry and, at intervals, a line with the
 * counts of each version; each names the proxy and the process that wrote it. Several processes may append to one file.
 * A torn or missing entry line shows as a gap in the chain of its process.
 */
public final class AuditLineFormat {

    private static final String ENTRY = "E";
    private static final String COUNTS = "C";
    /** Number of fields of a line. */
    private static final int ENTRY_FIELDS = 6;
    private static final int COUNTS_FIELDS = 10;

    /**
     * What one process has counted for one version up to a time.
     *
     * @param version version as in the label that nodes are sent
     * @param begun number of requests taken under it
     * @param attempts number of their attempts that were completely written
     */
    public record Counts(String version, double atMs, long begun, long attempts, long served, long refused, long failed,
            long gone) {

        /** Returns the sum of the counts of two periods under one version. */
        public Counts plus(Counts other) {
            return new Counts(version, Math.max(atMs, other.atMs), begun + other.begun, attempts + other.attempts,
                    served + other.served, refused + other.refused, failed + other.failed, gone + other.gone);
        }

        /** Returns whether the counts are equal, whatever their times. */
        public boolean hasSameCounts(Counts other) {
            return begun == other.begun && attempts == other.attempts && served == other.served
                    && refused == other.refused && failed == other.failed && gone == other.gone;
        }
    }

    /**
     * What a file contains of one process; {@code gaps} describes the gaps of its chain, none if it is complete from
     * its first entry.
     */
    public record ProcessRecord(String proxy, int incarnation, List<AuditEntry> entries, Map<String, Counts> counts,
                                List<String> gaps) { }

    private AuditLineFormat() { }

    /** Returns the line of a process' entry, without line end. */
    public static String line(String proxy, int incarnation, AuditEntry entry) {
        return ENTRY + " " + proxy + "#" + Integer.toHexString(incarnation) + " " + entry.index() + " "
                + (long) entry.atMs() + " " + entry.digest() + " " + entry.description();
    }

    /** Returns the line of a version's counts, without line end. */
    public static String line(String proxy, int incarnation, Counts counts) {
        return String.join(" ", COUNTS, proxy + "#" + Integer.toHexString(incarnation), counts.version(),
                String.valueOf((long) counts.atMs()), String.valueOf(counts.begun()), String.valueOf(counts.attempts()),
                String.valueOf(counts.served()), String.valueOf(counts.refused()), String.valueOf(counts.failed()),
                String.valueOf(counts.gone()));
    }

    /**
     * Parses the lines of a file, by process in the order of their first lines. Lines of another format are skipped.
     */
    public static List<ProcessRecord> read(List<String> lines) {
        Map<String, ProcessRecord> records = new LinkedHashMap<>();
        for (String line : lines) {
            try {
                parseLine(records, line);
            } catch (NumberFormatException e) {
                // A torn line. If it was an entry, the chain shows a gap.
                continue;
            }
        }
        records.values().forEach(record -> record.gaps()
                .addAll(AuditEntry.findFlaws(AuditEntry.origin(record.proxy(), record.incarnation()), 0,
                        record.entries())));
        return new ArrayList<>(records.values());
    }

    private static void parseLine(Map<String, ProcessRecord> records, String line) {
        String[] fields = line.split(" ", line.startsWith(ENTRY + " ") ? ENTRY_FIELDS : COUNTS_FIELDS);
        int separator = fields.length < 2 ? -1 : fields[1].lastIndexOf('#');
        if (separator < 0) {
            return;
        }
        int incarnation = Integer.parseUnsignedInt(fields[1].substring(separator + 1), 16);
        if (fields[0].equals(ENTRY) && fields.length == ENTRY_FIELDS) {
            AuditEntry entry = new AuditEntry(Long.parseLong(fields[2]), Long.parseLong(fields[3]), fields[5],
                    fields[4]);
            recordFor(records, fields[1], separator, incarnation).entries().add(entry);
        } else if (fields[0].equals(COUNTS) && fields.length == COUNTS_FIELDS) {
            long[] numbers = new long[COUNTS_FIELDS];
            for (int i = 3; i < COUNTS_FIELDS; i++) {
                numbers[i] = Long.parseLong(fields[i]);
            }
            // Later counts of a version replace earlier ones, as they only grow.
            recordFor(records, fields[1], separator, incarnation).counts()
                    .put(fields[2], new Counts(fields[2], numbers[3], numbers[4], numbers[5], numbers[6],
                            numbers[7], numbers[8], numbers[9]));
        }
    }

    private static ProcessRecord recordFor(Map<String, ProcessRecord> records, String process, int separator,
            int incarnation) {
        return records.computeIfAbsent(process, key -> new ProcessRecord(process.substring(0, separator), incarnation,
                new ArrayList<>(), new LinkedHashMap<>(), new ArrayList<>()));
    }
}

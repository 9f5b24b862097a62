package org.ridgemill.checks;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Prints the listed tests at the end of the build and fails it if one of them passed or did not run. */
public final class KnownRedReport {

    private KnownRedReport() {}

    /** Judges the list of the sources at the given root. Exit code 1 if it does not hold. */
    public static void main(String[] arguments) throws IOException {
        Path root = Path.of(arguments[0]);
        List<KnownRed.Entry> listed = KnownRed.read(root);
        KnownRedRecords records = new KnownRedRecords(root);
        List<String> faults = faults(listed, records.read());
        records.clear();
        for (KnownRed.Entry entry : listed) {
            System.out.println("known red: " + entry.id() + " | " + entry.cause() + " | " + entry.issue());
        }
        faults.forEach(System.err::println);
        if (!faults.isEmpty()) {
            System.exit(1);
        }
    }

    /** What is wrong with the list: a test that passed has to go from it, one that did not run is named wrongly. */
    static List<String> faults(List<KnownRed.Entry> listed, Map<String, Set<KnownRedRecords.End>> ends) {
        List<String> faults = new ArrayList<>();
        for (KnownRed.Entry entry : listed) {
            Set<KnownRedRecords.End> ofThis = ends.getOrDefault(entry.id(), Set.of());
            if (ofThis.isEmpty()) {
                faults.add(KnownRed.FILE + ": did not run: " + entry.id());
            } else if (!ofThis.contains(KnownRedRecords.End.RED)) {
                faults.add(KnownRed.FILE + ": passes, take it off the list: " + entry.id());
            }
        }
        return faults;
    }
}

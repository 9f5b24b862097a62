package ridgemill.version;

import java.util.List;

/**
 * The version in effect at a process: everything that a request's decisions depend on and that may differ between the
 * processes of a fleet. Host lists are not part of it, as they change every few seconds.
 *
 * @param build build of the program
 * @param platform digest of the platform's configuration, without the parts that differ between proxies
 * @param fileNumber number of the operator file, which grows with each change; 0 for a file without one
 * @param fileDigest digest of the operator file's text
 */
public record EffectiveVersion(String build, String platform, long fileNumber, String fileDigest) {

    /** Sections of an operator file that each proxy has of its own; they are not part of a version. */
    public static final List<String> LOCAL_SECTIONS = List.of("control", "eureka.register");

    /** Whether an operator file may replace the current one. */
    public enum Acceptance {
        /** The file has the same text or a higher number. */
        ACCEPTED,
        /** The file has a lower number, or none while the current one has a number: an old file has come back. */
        OLDER,
        /** The file has the same number with another text. */
        FORKED
    }

    /** Returns whether an operator file may replace this one. Numbers only grow, and a number stands for one text. */
    public Acceptance checkSuccessor(long nextNumber, String nextDigest) {
        if (nextNumber < fileNumber) {
            return Acceptance.OLDER;
        }
        return nextNumber == fileNumber && fileNumber > 0 && !nextDigest.equals(fileDigest) ? Acceptance.FORKED
                : Acceptance.ACCEPTED;
    }

    /** Returns the same version with another operator file. */
    public EffectiveVersion withFile(long nextNumber, String nextDigest) {
        return new EffectiveVersion(build, platform, nextNumber, nextDigest);
    }

    /** Returns number and digest as shown to operators and sent to nodes, such as {@code 12.5f0c33a1}. */
    public String text() {
        return fileNumber + "." + fileDigest.substring(0, Math.min(8, fileDigest.length()));
    }
}

package ridgemill.version;

import java.util.List;

/**
 * What a process acts under: what a request's decisions follow from and that differs between processes of one fleet. Host lists
 * change by the second and are told apart from it.
 *
 * @param build of the program
 * @param platform digest of the platform's configuration, as far as it is the same for all proxies
 * @param fileNumber number of the operator file; grows with each change, 0 for a file without one
 * @param fileDigest of the operator file's text
 */
public record EffectiveVersion(String build, String platform, long fileNumber, String fileDigest) {

    /** Sections of an operator file of which each proxy has its own: they are no part of a version. */
    public static final List<String> LOCAL_SECTIONS = List.of("control", "eureka.register");

    /** What a next operator file is to the one that holds. */
    public enum Acceptance {
        /** The same text, or a higher number. */
        ACCEPTED,
        /** A lower number, or none where there was one: an old file that came back. */
        OLDER,
        /** The same number for another text. */
        FORKED
    }

    /** Whether an operator file may take this one's place; numbers only grow, and one number is one text. */
    public Acceptance checkSuccessor(long nextFile, String nextDigest) {
        if (nextFile < fileNumber) {
            return Acceptance.OLDER;
        }
        return nextFile == fileNumber && fileNumber > 0 && !nextDigest.equals(fileDigest) ? Acceptance.FORKED : Acceptance.ACCEPTED;
    }

    /** The same under another operator file. */
    public EffectiveVersion withFile(long nextFile, String nextDigest) {
        return new EffectiveVersion(build, platform, nextFile, nextDigest);
    }

    /** As it is shown and told to nodes: {@code 12.5f0c33a1}. */
    public String text() {
        return fileNumber + "." + fileDigest.substring(0, Math.min(8, fileDigest.length()));
    }
}

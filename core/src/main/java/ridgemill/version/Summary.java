package ridgemill.version;

/**
 * What a process says of itself to the others, and they to each other: the later one of a process counts.
 *
 * @param member the proxy, by its place among the peers
 * @param incarnation of the process
 * @param sequence grows with each summary of the process
 * @param startedMs when it started, by its own clock
 * @param build first 32 bits of the build's digest
 * @param platform the same of the platform's configuration
 * @param fileNumber number of the operator file that it acts under
 * @param fileDigest first 64 bits of that file's digest
 * @param inEffectMs for how long it has acted under it
 * @param entries of its record
 * @param chainDigest first 64 bits of the digest of the last of them
 * @param begun requests taken under this file
 * @param served of these
 * @param refusedFile number of a file that it was given last and does not take; 0 for none
 * @param outOfService whether it has stepped aside
 * @param hostListNumber number of the platform's host list that it goes by, low 32 bits
 * @param hostListLateS for how many seconds whoever gives that list could not be asked, 0 where it can; {@link #MAX_LATE_S} for as many and more
 */
public record Summary(int member, int incarnation, int sequence, long startedMs, int build, int platform, long fileNumber, long fileDigest, long inEffectMs,
                      int entries, long chainDigest, long begun, long served, long refusedFile, boolean outOfService, int hostListNumber, int hostListLateS) {

    /** More seconds are not told apart. */
    public static final int MAX_LATE_S = 255;

    /** Whether another of the same proxy tells of something else than that time has passed. */
    boolean differsFrom(Summary o) {
        return incarnation != o.incarnation || fileNumber != o.fileNumber || fileDigest != o.fileDigest || refusedFile != o.refusedFile || outOfService != o.outOfService || build != o.build
                || platform != o.platform;
    }

    /** What is told of the file beside a sign of life. */
    short fileChecksum() {
        return (short) (31 * fileNumber + fileDigest + (fileDigest >>> Integer.SIZE));
    }

    /** Whether it was said later than another one of the same process. */
    boolean isLaterThan(Summary o) {
        return incarnation == o.incarnation && sequence > o.sequence;
    }
}

package ridgemill.version;

/**
 * Summary of a process' state, which the process sends to other members and they forward. Of one process the latest
 * summary counts.
 *
 * @param member index of the proxy among the peers
 * @param incarnation number of the process
 * @param sequence grows with each summary of the process
 * @param startedMs start of the process by its own clock
 * @param build first 32 bits of the build's digest
 * @param platform first 32 bits of the digest of the platform's configuration
 * @param fileNumber number of the operator file in effect
 * @param fileDigest first 64 bits of that file's digest
 * @param inEffectMs for how long it has been in effect
 * @param entries number of entries of the process' history
 * @param chainDigest first 64 bits of the last entry's digest
 * @param begun number of requests taken under this file
 * @param served number of those that were served
 * @param refusedFile number of the last file that was given to the process and refused; 0 for none
 * @param outOfService whether the proxy is out of service
 * @param hostListNumber low 32 bits of the number of the platform's host list in use
 * @param hostListLateS for how many seconds the source of that list has not been reachable, 0 while it is; at most
 *     {@link #MAX_LATE_S}
 */
public record Summary(int member, int incarnation, int sequence, long startedMs, int build, int platform,
                      long fileNumber, long fileDigest, long inEffectMs, int entries, long chainDigest, long begun,
                      long served, long refusedFile, boolean outOfService, int hostListNumber, int hostListLateS) {

    /** Maximum of {@link #hostListLateS}. */
    public static final int MAX_LATE_S = 255;

    /** Returns whether another summary of the same proxy differs in more than counters and times. */
    boolean differsFrom(Summary other) {
        return incarnation != other.incarnation || fileNumber != other.fileNumber || fileDigest != other.fileDigest
                || refusedFile != other.refusedFile || outOfService != other.outOfService || build != other.build
                || platform != other.platform;
    }

    /** Returns the checksum of the file's number and digest that is sent with heartbeats. */
    short fileChecksum() {
        return (short) (31 * fileNumber + fileDigest + (fileDigest >>> Integer.SIZE));
    }

    /** Returns whether this is a later summary of the same process. */
    boolean isLaterThan(Summary other) {
        return incarnation == other.incarnation && sequence > other.sequence;
    }
}

package ridgemill.version;

import java.util.List;

/**
 * What one proxy sends to another in a gossip round.
 *
 * @param summaries summary of the sender, first, and of other members
 * @param heartbeats last signs of life of further members
 */
public record Gossip(List<Summary> summaries, List<Heartbeat> heartbeats) {

    /**
     * Sign of life of a process: it was alive when it made the summary with this sequence.
     *
     * @param member index of the proxy among the peers
     * @param incarnation low 16 bits of the process' incarnation
     * @param sequence sequence of the summary
     * @param fileChecksum checksum of the file in effect then: 16 bits of its number and digest
     */
    public record Heartbeat(int member, short incarnation, int sequence, short fileChecksum) { }

    public Gossip {
        summaries = List.copyOf(summaries);
        heartbeats = List.copyOf(heartbeats);
    }
}

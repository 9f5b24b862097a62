package ridgemill.version;

import java.util.List;

/**
 * What one proxy tells another in a round.
 *
 * @param summaries of itself, first, and of others
 * @param heartbeats of whom else it knows that it lives, and as of when
 */
public record Gossip(List<Summary> summaries, List<Heartbeat> heartbeats) {

    /**
     * A process lived when it had made this summary.
     *
     * @param member the proxy, by its place among the peers
     * @param incarnation the low 16 bits of its process'
     * @param sequence of the summary
     * @param fileChecksum of the file that it acted under then: 16 bits of its number and digest
     */
    public record Heartbeat(int member, short incarnation, int sequence, short fileChecksum) { }

    public Gossip {
        summaries = List.copyOf(summaries);
        heartbeats = List.copyOf(heartbeats);
    }
}

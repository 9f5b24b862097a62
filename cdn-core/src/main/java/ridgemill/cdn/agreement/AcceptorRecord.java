package ridgemill.cdn.agreement;

import java.util.List;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.quorum.VoterSet;

/**
 * A change of an acceptor's durable state. It has to be on disk before the acceptor reports it.
 *
 * @param promised the highest promised ballot
 * @param accepted the newest accepted state
 * @param voters the voters of that state
 * @param items the changed items, or all items if {@code replaces} is set
 * @param replaces whether the items replace all items that are stored
 */
public record AcceptorRecord(
        Ballot promised, StateId accepted, VoterSet voters, List<VersionedItem> items, boolean replaces) {

    /** The record of an empty disk. */
    public static final AcceptorRecord EMPTY =
            new AcceptorRecord(Ballot.NONE, StateId.NONE, VoterSet.UNKNOWN, List.of(), false);

    public AcceptorRecord {
        items = List.copyOf(items);
    }
}

package ridgemill.cdn.agreement;

import java.util.List;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.quorum.VoterSet;

/**
 * What an acceptor has to have on disk before it says so.
 *
 * @param promised the highest ballot that it promised to heed
 * @param accepted the state that it accepted last
 * @param voters the voters of that state
 * @param items the items that changed, or all of them
 * @param replaces whether the items take the place of all that were there
 */
public record AcceptorRecord(
        Ballot promised, StateId accepted, VoterSet voters, List<VersionedItem> items, boolean replaces) {

    /** What an empty disk holds. */
    public static final AcceptorRecord EMPTY =
            new AcceptorRecord(Ballot.NONE, StateId.NONE, VoterSet.UNKNOWN, List.of(), false);

    public AcceptorRecord {
        items = List.copyOf(items);
    }
}

package ridgemill.cdn.agreement;

import java.util.List;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/** A message between stores. Messages may be lost, duplicated, delayed or reordered. */
public sealed interface AgreementMessage {

    /** The store that sent the message. */
    Voter from();

    /** A request of a proposer to an acceptor. */
    sealed interface ToAcceptor extends AgreementMessage {}

    /** A reply of an acceptor to a proposer. */
    sealed interface ToProposer extends AgreementMessage {}

    /** A message of a state transfer, by which a store catches up with another one. */
    sealed interface Transfer extends AgreementMessage {}

    /**
     * The status that a store announces at intervals and after changes.
     *
     * @param zone the zone of its machine
     * @param eligible whether it may be chosen as a voter
     * @param leaving whether it is about to stop, for a while or for good
     * @param leading whether it is the leader
     * @param promised its highest promised ballot
     * @param accepted the newest accepted state that it has on disk
     * @param decided the newest state that it knows to be decided
     * @param voters the voters of its newest accepted state
     * @param completeEpoch the newest epoch for which it has all operation keys on disk; 0 for none
     * @param knownAddresses the IP addresses of the stores that it recently received a status from
     */
    record Status(
            Voter from,
            String zone,
            boolean eligible,
            boolean leaving,
            boolean leading,
            Ballot promised,
            StateId accepted,
            StateId decided,
            VoterSet voters,
            long completeEpoch,
            List<String> knownAddresses)
            implements AgreementMessage {}

    /** Asks for the promise to accept nothing under a lower ballot (Paxos phase 1a). */
    record Prepare(Voter from, Ballot ballot) implements ToAcceptor {}

    /** The promise, with the newest state that was accepted before it (Paxos phase 1b). */
    record Promise(Voter from, Ballot ballot, StateId accepted, VoterSet voters) implements ToProposer {}

    /** Proposes a state as a delta, under the ballot of the delta's state (Paxos phase 2a). */
    record Accept(Voter from, StateDelta delta) implements ToAcceptor {}

    /** A state, and all earlier states under the same ballot, are accepted and on disk (Paxos phase 2b). */
    record Accepted(Voter from, StateId stateId) implements ToProposer {}

    /** Rejects a request under a ballot because a higher one has been promised. */
    record Refused(Voter from, Ballot refused, Ballot promised) implements ToProposer {}

    /** Asks whether a ballot is still the highest promised one, before the leader answers a read. */
    record Confirm(Voter from, Ballot ballot, long number) implements ToAcceptor {}

    /** Confirms that no higher ballot has been promised. */
    record Confirmed(Voter from, Ballot ballot, long number) implements ToProposer {}

    /**
     * Asks for a page of the accepted state.
     *
     * @param transferId identifies the transfer among those of this sender
     * @param heldStateId the state that the asking store holds
     * @param page the number of the page, from 0
     */
    record Pull(Voter from, String transferId, StateId heldStateId, int page) implements Transfer {}

    /** Answers {@link Pull} with the missing deltas, if the answering store still keeps them and they are small. */
    record Difference(Voter from, String transferId, StateId decided, List<StateDelta> deltas) implements Transfer {}

    /**
     * Answers {@link Pull} with a page of a snapshot.
     *
     * @param decided the newest state that the sender knows to be decided
     * @param page the number of the page, from 0
     * @param pageCount the number of pages
     * @param stateId the state that the snapshot shows
     * @param voters its voters
     * @param items the items of this page
     * @param digest {@link ControlState#digest} of the whole snapshot
     */
    record Page(
            Voter from,
            String transferId,
            StateId decided,
            int page,
            int pageCount,
            StateId stateId,
            VoterSet voters,
            List<VersionedItem> items,
            long digest)
            implements Transfer {}
}

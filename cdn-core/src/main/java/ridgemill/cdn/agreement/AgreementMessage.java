package ridgemill.cdn.agreement;

import java.util.List;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/** A message between stores. Each says who sent it; any of them may be lost, doubled or late. */
public sealed interface AgreementMessage {

    /** The store that sent the message. */
    Voter from();

    /** A proposer asks an acceptor. */
    sealed interface ToAcceptor extends AgreementMessage {}

    /** An acceptor answers a proposer. */
    sealed interface ToProposer extends AgreementMessage {}

    /** A store brings its state up to date from another one. */
    sealed interface Transfer extends AgreementMessage {}

    /**
     * What a store says of itself, at intervals and after changes.
     *
     * @param zone the zone of its machine
     * @param eligible whether it may be chosen as a voter
     * @param leaving whether it is about to end for a while or for good
     * @param leading whether it proposes states at present
     * @param promised its highest promise
     * @param accepted the newest state that it has on disk
     * @param decided the newest state that it knows to be decided
     * @param voters the voters of the newest state that it accepted
     * @param completeEpoch the newest epoch for which it has all operation keys on disk; 0 for none
     * @param knownAddresses the IP addresses of the stores that it has heard lately
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

    /** Asks for the promise to accept nothing of a lower ballot. */
    record Prepare(Voter from, Ballot ballot) implements ToAcceptor {}

    /** The promise, and what was accepted before it. */
    record Promise(Voter from, Ballot ballot, StateId accepted, VoterSet voters) implements ToProposer {}

    /** Proposes a state as a difference. Its ballot is that of the step's stamp. */
    record Accept(Voter from, StateDelta step) implements ToAcceptor {}

    /** A state, and under the same ballot all before it, is accepted and on disk. */
    record Accepted(Voter from, StateId stateId) implements ToProposer {}

    /** A ballot came too late: a higher one was promised. */
    record Refused(Voter from, Ballot refused, Ballot promised) implements ToProposer {}

    /** Asks whether a ballot is still the highest one. */
    record Confirm(Voter from, Ballot ballot, long number) implements ToAcceptor {}

    /** It is. */
    record Confirmed(Voter from, Ballot ballot, long number) implements ToProposer {}

    /**
     * Asks for a page of the accepted state.
     *
     * @param transferId names the transfer among those of this sender
     * @param heldStateId the state that the asking store holds
     * @param page the number of the page, from 0
     */
    record Pull(Voter from, String transferId, StateId heldStateId, int page) implements Transfer {}

    /** Answers {@link Pull} with the steps that are missing, where they are few. */
    record Difference(Voter from, String transferId, StateId decided, List<StateDelta> deltas) implements Transfer {}

    /**
     * Answers {@link Pull} with a page of a snapshot.
     *
     * @param decided the newest state that the sender knows to be decided
     * @param page the number of the page, from 0
     * @param pageCount how many there are
     * @param stateId the state that the snapshot is of
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

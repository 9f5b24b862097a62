package ridgemill.cdn.agreement;

import java.util.List;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.quorum.VoterSet;

/** The I/O and randomness that the surrounding process provides to an {@link AgreementNode}. */
public interface AgreementEnvironment {

    /** Sends a message to the store on the machine with this IP address. The message may be lost. */
    void send(String address, AgreementMessage message);

    /**
     * Writes a record to the disk, after all records that were written before it.
     *
     * @param durable called once this record and all before it survive a loss of power; never called if the disk fails
     */
    void persist(AcceptorRecord record, Runnable durable);

    /**
     * Publishes newly decided states. Never called for a state that is only accepted.
     *
     * @param changed the items that changed
     * @param voters the voters of the newest decided state
     */
    void onDecided(List<Item> changed, VoterSet voters);

    /** A random number from 0 (inclusive) to 1 (exclusive). */
    double random();
}

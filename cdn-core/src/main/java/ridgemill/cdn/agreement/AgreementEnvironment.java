package ridgemill.cdn.agreement;

import java.util.List;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.quorum.VoterSet;

/** What a node needs of the process around it. */
public interface AgreementEnvironment {

    /** Sends a message to the store on a machine. It may be lost. */
    void send(String address, AgreementMessage message);

    /**
     * Writes to the disk, after all that was written before.
     *
     * @param durable called once it, and all before it, survives a loss of power; never if the disk refuses
     */
    void persist(AcceptorRecord record, Runnable durable);

    /** States were decided: these items changed, and these are the voters. Never called for what is not decided. */
    void onDecided(List<Item> changed, VoterSet voters);

    /** A number from 0 (inclusive) to 1 (exclusive), drawn at random. */
    double random();
}

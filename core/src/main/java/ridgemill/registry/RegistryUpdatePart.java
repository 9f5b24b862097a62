package ridgemill.registry;

import java.util.List;

/**
 * One datagram of an update as a listener receives it: the whole update or a part of it.
 *
 * @param applicationId hash of the application's name
 * @param term under which the registry was read and the update sent
 * @param sequence numbers the updates of a term, increasing
 * @param digest of all instances that the registry has now
 * @param echoTimestamp the last timestamp that the reader had received from this listener when it polled the registry:
 *     the update is not older
 * @param pollDurationMs how long the registry took to answer
 * @param partIndex index of this part, from 0
 * @param partCount number of parts; 0 if the changes are too many to be sent and each listener has to poll
 * @param changes of the last few updates, as far as they are in this part
 */
public record RegistryUpdatePart(int applicationId, long term, int sequence, long digest, int echoTimestamp,
                                 int pollDurationMs, int partIndex, int partCount, List<InstanceChange> changes) {

    public RegistryUpdatePart {
        changes = List.copyOf(changes);
    }
}

package ridgemill.registry;

import java.util.List;

/**
 * The result of a poll as the reader sends it, to each listener in as many {@link RegistryUpdatePart}s as it needs.
 *
 * @param applicationId hash of the application's name
 * @param term under which the registry was read
 * @param sequence numbers the updates of a term, increasing
 * @param digest of all instances that the registry has now
 * @param pollDurationMs how long the registry took to answer
 * @param changes of the last few updates: a listener that has missed no more than these is complete
 */
public record RegistryUpdate(int applicationId, long term, int sequence, long digest, int pollDurationMs,
                             List<InstanceChange> changes) {

    public RegistryUpdate {
        changes = List.copyOf(changes);
    }
}

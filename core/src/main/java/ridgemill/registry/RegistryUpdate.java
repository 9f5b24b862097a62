package ridgemill.registry;

import java.util.List;

/**
 * What a reader tells after a poll, to each listener in as many {@link RegistryUpdatePart} as it needs.
 *
 * @param applicationId stands for the application that it is of
 * @param term under which it was read
 * @param sequence of the telling within the term; grows
 * @param digest of all that the registry has now
 * @param pollDurationMs how long the registry took to answer
 * @param changes of the last few tellings: whoever has missed no more than these has all
 */
public record RegistryUpdate(int applicationId, long term, int sequence, long digest, int pollDurationMs, List<InstanceChange> changes) {

    public RegistryUpdate {
        changes = List.copyOf(changes);
    }
}

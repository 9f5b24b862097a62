package ridgemill.registry;

import java.util.List;

/**
 * What one listener is told of a poll, or a part of it.
 *
 * @param applicationId stands for the application that it is of
 * @param term under which it was read and told
 * @param sequence of the telling within the term; grows
 * @param digest of all that the registry has now
 * @param echoTimestamp the last that the reader had heard from this listener when it asked the registry: the news is not older
 * @param pollDurationMs how long the registry took to answer
 * @param partIndex of the telling, from 0
 * @param partCount of the telling; 0 where what changed is too much to be told, and each is to read for itself
 * @param changes of the last few tellings, in this part
 */
public record RegistryUpdatePart(int applicationId, long term, int sequence, long digest, int echoTimestamp, int pollDurationMs, int partIndex, int partCount, List<InstanceChange> changes) {

    public RegistryUpdatePart {
        changes = List.copyOf(changes);
    }
}

package ridgemill.core;

/**
 * What a client requested, independent of protocols. Backends send it on unchanged.
 *
 * @param action the operation
 * @param target the resource, as a path-absolute reference with its query (RFC 3986, section 4.2); protocols with bare
 *     keys map them to paths
 * @param idempotencyKey key by which a node drops duplicates; null if there is none
 * @param content the value to write, of the type that frontends and backends share; opaque here
 * @param <C> the content type
 */
public record Command<C>(Action action, String target, String idempotencyKey, C content) {

    /** Operations of nodes. */
    public enum Action {
        /** Reads the value. */
        READ,
        /** Replaces the value. */
        WRITE,
        /** Deletes the value; the content of the response is the number of values deleted. */
        DELETE
    }

    /** Creates a read or a write. */
    public Command(boolean write, String target, String idempotencyKey, C content) {
        this(write ? Action.WRITE : Action.READ, target, idempotencyKey, content);
    }

    /** Whether the command changes the value: true for writes and deletes. */
    public boolean write() {
        return action != Action.READ;
    }
}

package ridgemill.core;

/**
 * What a client asked for, in no protocol's words. Backs send it on as it is.
 *
 * @param write whether it changes the value
 * @param target what it is about, as a path-absolute reference with its query (RFC 3986, section 4.2); protocols that
 *     name bare keys map them to paths
 * @param idempotencyKey by which a node drops its repeats; null where it has none
 * @param content the value to write, of the type that fronts and backs share; opaque here
 * @param <C> the type of contents
 */
public record Command<C>(boolean write, String target, String idempotencyKey, C content) { }

/**
 * Decisions of an edge proxy: load balancing, retries, rate limits and caching. Time is passed in; nothing here does
 * I/O.
 *
 * <p>A request that needs a service passes these classes in this order: {@code ServiceAdmission} admits or refuses it;
 * {@code InstancePicker} picks one of the two best instances for its key, based on {@code InstanceStats}; {@code
 * OriginShare} limits the rate of requests that instances receive, and {@code RetryBudget} the retries. An {@code
 * AttemptOutcome} tells how an attempt ended and whether the request may have run.
 *
 * <p>Reads of objects are answered from an {@code ObjectCache} of {@code CachedObject}s: as a whole, as a {@code
 * ByteRange}, or with 304 (Not Modified) if {@code EntityTags} match the client's copy.
 */
package ridgemill.cdn.edge;

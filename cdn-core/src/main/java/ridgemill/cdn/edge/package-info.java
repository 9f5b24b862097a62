/**
 * Decisions of an edge proxy: whom to ask, how often, what to keep. Time is passed in; nothing here does I/O.
 *
 * <p>A request that needs a service passes these, in this order: {@code ServiceAdmission} (a level, a bank of tokens
 * and the ladder of its refill rates) lets it on or refuses it; {@code InstancePicker} picks one of the two best
 * instances of its key by what {@code InstanceStats} knows of them; {@code OriginShare} bounds arrivals a second,
 * {@code RetryBudget} those beyond each request's first; a {@code AttemptOutcome} says how an attempt ended and whether the
 * request may have run.
 *
 * <p>Reads of objects are answered from an {@code ObjectCache} of {@code CachedObject}s, whole, in a {@code ByteRange}
 * or, by {@code EntityTags}, not at all where the client has the same.
 */
package ridgemill.cdn.edge;

package ridgemill.cdn.keys;

import java.util.Objects;

/**
 * The record of one voter for one operation key (idempotency key).
 *
 * @param key the operation key, scoped by its host
 * @param state the state of the operation
 * @param claimId the claim that the state refers to; empty for {@link KeyState#CONFLICT}
 * @param answer the recorded answer for {@link KeyState#FINISHED}, in the encoding of the edge proxies; else null
 * @param updatedAtMs when this voter last changed the record, in Unix milliseconds of its own clock
 */
public record KeyRecord(String key, KeyState state, String claimId, byte[] answer, long updatedAtMs) {

    public KeyRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(claimId, "claimId");
    }
}

package ridgemill.gateway.front.http;

import com.google.gson.JsonObject;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import ridgemill.gateway.net.Content;
import ridgemill.idempotency.IdempotencyRecord;

/** Writes the outcome of an idempotency key as JSON. Not loaded until the first query. */
final class OutcomeJson {

    private OutcomeJson() { }

    /** Returns the JSON text of a record; null stands for a key without a record. */
    static Content of(IdempotencyRecord record, double nowMs) {
        JsonObject json = new JsonObject();
        json.addProperty("outcome", record == null ? "none" : record.isRunning() ? "running"
                : record.state().name().toLowerCase(Locale.ROOT));
        if (record != null) {
            json.addProperty("call", record.callId());
            json.addProperty("since-ms", Math.round(nowMs - record.stateSinceMs()));
        }
        return new Content(Unpooled.copiedBuffer(json.toString(), StandardCharsets.UTF_8), "application/json");
    }
}

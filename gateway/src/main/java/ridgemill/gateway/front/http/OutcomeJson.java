package ridgemill.gateway.front.http;

import com.google.gson.JsonObject;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import ridgemill.gateway.net.Content;
import ridgemill.idempotency.IdempotencyRecord;

/** What a key came to, as JSON. Not loaded unless somebody asks. */
final class OutcomeJson {

    private OutcomeJson() { }

    /** The text for what is known; for null, that nothing is. */
    static Content of(IdempotencyRecord known, double nowMs) {
        JsonObject o = new JsonObject();
        o.addProperty("outcome", known == null ? "none" : known.isRunning() ? "running" : known.state().name().toLowerCase(Locale.ROOT));
        if (known != null) {
            o.addProperty("call", known.callId());
            o.addProperty("since-ms", Math.round(nowMs - known.stateSinceMs()));
        }
        return new Content(Unpooled.copiedBuffer(o.toString(), StandardCharsets.UTF_8), "application/json");
    }
}

package ridgemill.lab;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Path;
import ridgemill.gateway.control.ControlClient;

/** What a process answers at its control socket. */
public final class ControlAnswer {

    private ControlAnswer() { }

    /** Asks; throws where nobody answers there. */
    public static JsonObject of(Path socket, String command) throws IOException {
        return JsonParser.parseString(ControlClient.send(socket, command)).getAsJsonObject();
    }
}

package ridgemill.cdn.proxy;

import java.util.ArrayList;
import java.util.List;

/** Headers of a response that belong to the one request that it was sent for. */
final class RequestSpecificHeaders {

    private RequestSpecificHeaders() {}

    /**
     * Returns the remaining headers, which may be sent in responses to other requests.
     *
     * @param lines names and values in turn
     * @param forCache whether the headers are stored with a copy of an object
     */
    static List<String> removeFrom(List<String> lines, boolean forCache) {
        List<String> kept = new ArrayList<>(lines.size());
        for (int i = 0; i < lines.size(); i += 2) {
            String name = lines.get(i);
            boolean requestSpecific = name.equalsIgnoreCase(ClientRequest.ATTEMPT_ID)
                    || name.equalsIgnoreCase("X-Server-Load")
                    || name.equalsIgnoreCase("X-Instance-Id")
                    || forCache && (name.equalsIgnoreCase("Set-Cookie") || name.equalsIgnoreCase("Content-Range"));
            if (!requestSpecific) {
                kept.add(name);
                kept.add(lines.get(i + 1));
            }
        }
        return kept;
    }
}

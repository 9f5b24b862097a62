package ridgemill.cdn.proxy;

import java.util.ArrayList;
import java.util.List;

/** Headers of an answer that belong to the one request that it was given to. */
final class RequestSpecificHeaders {

    private RequestSpecificHeaders() {}

    /**
     * The other headers, to be given again to other requests.
     *
     * @param lines names and values in turn
     * @param asCopy whether they are kept with a copy of an object
     */
    static List<String> removeFrom(List<String> lines, boolean asCopy) {
        List<String> kept = new ArrayList<>(lines.size());
        for (int i = 0; i < lines.size(); i += 2) {
            String name = lines.get(i);
            boolean own = name.equalsIgnoreCase(ClientRequest.ATTEMPT_ID)
                    || name.equalsIgnoreCase("X-Server-Load")
                    || name.equalsIgnoreCase("X-Instance-Id")
                    || asCopy && (name.equalsIgnoreCase("Set-Cookie") || name.equalsIgnoreCase("Content-Range"));
            if (!own) {
                kept.add(name);
                kept.add(lines.get(i + 1));
            }
        }
        return kept;
    }
}

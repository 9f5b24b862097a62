package ridgemill.gateway;

import java.io.Closeable;
import java.io.IOException;
import java.util.Map;

/** A proxy with a scripted router, one scripted cache node c0 and a scripted discovery, on ephemeral ports. */
final class Site implements Closeable {

    static final String SETTINGS = """
            {"rank": 0, "balancers": 2, "zone": "a", "tick_ms": 5, "discovery": "%s",
             "limits": {"cancelling": true, "connect_timeout_ms": 5000, "idle_close_ms": %s, "max_open": 4,
                        "max_retry_after_ms": 750, "retry_after": true, "try_limit": 3, "peers": true},
             "obligations": {"answer_slack_ms": 20},
             "services": [{"name": "read", "effect": "retryable", "deadline_ms": 1500},
                          {"name": "pay", "effect": "dedup", "deadline_ms": 1500}]}""";
    static final double LONG_S = 60;

    final Peer node = new Peer();
    final Peer discovery = new Peer();
    final Scripted router = new Scripted();
    Service service;
    int sockets = 256;
    int maxOpen = 4;
    String listen = "127.0.0.1:0";
    private int calls;

    Site() throws IOException { }

    static Site started() throws Exception {
        Site site = new Site();
        site.start("automatic", "60000", "");
        return site;
    }

    void start(String mode, String idleMs, String more) throws Exception {
        service = Service.start(config(mode, idleMs, more), router);
    }

    Config config(String mode, String idleMs, String more) throws ConfigException {
        return Config.parse("{\"name\":\"n0\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery.dial() + "\","
                + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":" + sockets + "}," + more
                + "\"known\":" + list(7, true, host("c0", node.dial(), "up", 0)) + ",\"settings\":"
                + SETTINGS.formatted(mode, idleMs).replace("\"max_open\": 4", "\"max_open\": " + maxOpen) + "}", Map.of());
    }

    static String list(long seq, boolean whole, String... hosts) {
        return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    static String host(String id, String dial, String health, long born) {
        return "{\"host\":\"" + id + "\",\"dial\":\"" + dial + "\",\"site\":\"a\",\"class\":\"std\",\"block\":1,"
                + "\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":" + born + "}";
    }

    Peer.Wire client() throws IOException {
        return Peer.connect(service.listenAddress());
    }

    /** A read with a new id, for which the client waits so long. */
    String get(double budgetS) {
        return "GET /api/k1?x=1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: id" + calls++ + "\r\nX-Call-Class: read\r\n"
                + "X-Caller: acme\r\nX-Budget: " + budgetS + "\r\n\r\n";
    }

    static String put(String headers, String body) {
        return "PUT /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: w1\r\nX-Call-Class: pay\r\nX-Budget: 60\r\n" + headers
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static int status(String answer) {
        return answer == null ? -1 : Integer.parseInt(answer.split(" ")[1]);
    }

    @Override
    public void close() throws IOException {
        // Without its peers nothing that is still out can hold the service up.
        node.close();
        discovery.close();
        if (service != null) {
            service.kill();
        }
    }
}

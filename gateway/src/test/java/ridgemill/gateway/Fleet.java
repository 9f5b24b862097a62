package ridgemill.gateway;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import ridgemill.policy.BalancingRouter;
import ridgemill.policy.Router;

/** A proxy with the project's own decisions, cache nodes and an origin that answer by a script, and one client. */
final class Fleet implements Closeable {

    private static final String SETTINGS = """
            {"rank": 0, "balancers": 2, "zone": "a", "tick_ms": 5, "discovery": "automatic",
             "limits": {"cancelling": true, "connect_timeout_ms": 5000, "idle_close_ms": 60000, "max_open": 64,
                        "max_retry_after_ms": 750, "retry_after": true, "try_limit": 6},
             "obligations": {"answer_slack_ms": 20}, "kinds": ["std", "origin"],
             "domain": {"mode": "aside", "origin_kind": 1},
             "services": [{"name": "read", "effect": "retryable", "objective_ms": %s, "deadline_ms": 60000},
                          {"name": "pay", "effect": "dedup", "deadline_ms": 60000, "repeat_window_ms": 30000}]}""";
    private static final String HEAD = " HTTP/1.1\r\nHost: s\r\nX-Caller: acme\r\nX-Call-Id: ";
    static final int KEYS = 100;

    /** What a node does with its nth request, counted from 0. */
    interface Script {
        void play(Peer.Message request, int n) throws IOException;
    }

    static Script answering() {
        return (request, n) -> answer(request);
    }

    static void answer(Peer.Message request) throws IOException {
        request.wire().answer(200, "v");
    }

    /** Where each request was sent to, in order. */
    final Map<String, List<String>> nodesOf = new ConcurrentHashMap<>();
    /** What each node was last told of the time that the proxy waits, in seconds. */
    final Map<String, Double> lastBudget = new ConcurrentHashMap<>();
    private final int budgetS;
    private final BlockingQueue<String> steps = new LinkedBlockingQueue<>();
    private final List<Peer> peers = new ArrayList<>();
    private final Peer discovery = new Peer();
    private final Service service;
    private final Peer.Wire client;
    private int calls;

    Fleet(int caches, Script cache, Script origin) throws Exception {
        this(caches, cache, origin, 60, 60_000);
    }

    /** {@code budgetS} is how long the client waits, {@code aimMs} the aim of reads. */
    Fleet(int caches, Script cache, Script origin, int budgetS, int aimMs) throws Exception {
        this.budgetS = budgetS;
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < caches; i++) {
            hosts.add(Site.host("c" + i, peer(cache), "up", 0));
        }
        hosts.add(Site.host("db", peer(origin), "up", 0).replace("\"std\"", "\"origin\""));
        Config config = Config.parse("{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery.dial()
                + "\",\"limits\":{\"sockets\":256},\"known\":" + Site.list(7, true, hosts.toArray(String[]::new))
                + ",\"settings\":" + SETTINGS.formatted(aimMs) + "}", Map.of());
        service = Service.start(config, new Watched(new BalancingRouter(config.settings(), 7)));
        client = Peer.connect(service.listenAddress());
    }

    private String peer(Script script) throws IOException {
        Peer peer = new Peer();
        peers.add(peer);
        Thread playing = new Thread(() -> play(peer, script), "script");
        playing.setDaemon(true);
        playing.start();
        return peer.dial();
    }

    private void play(Peer peer, Script script) {
        for (int n = 0;;) {
            try {
                Peer.Message message = peer.await();
                if (message.text() != null) {
                    nodesOf.computeIfAbsent(message.header("X-Call-Id"), id -> new CopyOnWriteArrayList<>())
                            .add(peer.dial());
                    lastBudget.put(peer.dial(), Double.valueOf(message.header("X-Budget")));
                    script.play(message, n++);
                }
            } catch (IOException e) {
                continue;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Asks for the next of some keys; the id under which {@link #nodesOf} lists what it was sent to. */
    int read() throws IOException {
        return ask("GET /api/k" + calls % KEYS + HEAD + calls + "\r\nX-Budget: " + budgetS + "\r\nX-Call-Class: read\r\n\r\n");
    }

    int write() throws IOException {
        return ask("PUT /api/w" + calls + HEAD + calls + "\r\nX-Budget: " + budgetS + "\r\nX-Call-Class: pay\r\nIdempotency-Key: " + calls
                + "\r\nContent-Length: 1\r\n\r\nv");
    }

    private int ask(String request) throws IOException {
        calls++;
        client.write(request);
        return Site.status(client.read());
    }

    String lastId() {
        return String.valueOf(calls - 1);
    }

    /** Control intervals that have passed. */
    int steps() {
        return steps.size();
    }

    @Override
    public void close() throws IOException {
        client.close();
        for (Peer peer : peers) {
            peer.close();
        }
        discovery.close();
        service.kill();
    }

    /** The project's decisions, with a note of the control intervals. */
    private final class Watched implements Router {
        private final Router inner;

        Watched(Router inner) {
            this.inner = inner;
        }

        @Override
        public void onStart(double now, Actions out) {
            inner.onStart(now, out);
        }

        @Override
        public void onNodeList(double now, ListUpdateKind kind, long version, List<Node> entries, Actions out) {
            inner.onNodeList(now, kind, version, entries, out);
        }

        @Override
        public void onRequest(double now, Request request, Actions out) {
            inner.onRequest(now, request, out);
        }

        @Override
        public void onStreamStarted(double now, String request, int attempt, String node, Actions out) {
            inner.onStreamStarted(now, request, attempt, node, out);
        }

        @Override
        public void onAttemptEnded(double now, AttemptResult end, Actions out) {
            inner.onAttemptEnded(now, end, out);
        }

        @Override
        public void onClientDisconnected(double now, String request, Actions out) {
            inner.onClientDisconnected(now, request, out);
        }

        @Override
        public void onTimer(double now, String token, Actions out) {
            if (token.equals("step")) {
                steps.add(token);
            }
            inner.onTimer(now, token, out);
        }

        @Override
        public void onProbeResult(double now, String node, Outcome outcome, double elapsedMs, Map<String, Double> load,
                           Actions out) {
            inner.onProbeResult(now, node, outcome, elapsedMs, load, out);
        }

        @Override
        public void onPeerMessage(double now, int from, byte[] contents, Actions out) {
            inner.onPeerMessage(now, from, contents, out);
        }
    }
}

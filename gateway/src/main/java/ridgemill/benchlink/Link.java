package ridgemill.benchlink;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ridgemill.policy.BalancingRouter;
import ridgemill.policy.Router;
import ridgemill.policy.Router.AttemptResult;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.ListUpdateKind;
import ridgemill.policy.Router.Node;
import ridgemill.policy.Router.Outcome;
import ridgemill.policy.Router.Request;

/** Hosts the instances: reads batches of events, hands them to the routers, writes the replies. */
final class Link {

    private static final int HINT_VALID = 1;
    private static final int REPEAT = 2;
    private static final int WRITE = 4;
    /** By the wire's numbers; the wire has none for what only a proxy's own connections can show. */
    private static final Outcome[] OUTCOMES = {Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.TIMEOUT,
        Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.CANCELLED, Outcome.NEVER_SENT, Outcome.MISS};

    private final Map<Integer, Router> routers = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private final BufferedReader in;
    private final Writer out;
    private double now = Double.NEGATIVE_INFINITY;

    Link(BufferedReader in, Writer out) {
        this.in = in;
        this.out = out;
    }

    /** Serves batches until the input ends. */
    void run() throws IOException {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            Fields head = new Fields(line);
            if (!head.text().equals("ROUND")) {
                throw new WireException("no ROUND: " + line);
            }
            double clock = head.number();
            String index = head.text();
            head.end();
            if (!(clock >= now)) {
                throw new WireException("clock runs back: " + line);
            }
            now = clock;
            batch();
            out.append(reply).append("READY ").append(index).append('\n');
            out.flush();
            reply.setLength(0);
        }
    }

    private void batch() throws IOException {
        for (String line = next(); !line.equals("YOUR_TURN"); line = next()) {
            Fields fields = new Fields(line);
            String word = fields.text();
            int instance = fields.integer();
            Reply actions = new Reply(reply, instance);
            switch (word) {
                case "INIT" -> init(instance, fields, actions);
                case "DOWN" -> down(instance, fields);
                default -> guarded(actions, event(word, instance, fields), router(instance, line));
            }
        }
    }

    private void init(int instance, Fields f, Reply actions) {
        long seed = f.longOr(0);
        Router router;
        try {
            router = new BalancingRouter(SettingsReader.read(f.rest()), seed);
        } catch (IllegalArgumentException e) {
            throw new WireException(e.getMessage());
        }
        routers.put(instance, router);
        guarded(actions, r -> r.onStart(now, actions), router);
    }

    private void down(int instance, Fields f) {
        f.end();
        if (routers.remove(instance) == null) {
            throw new WireException("DOWN for unknown instance " + instance);
        }
    }

    private Router router(int instance, String line) {
        Router router = routers.get(instance);
        if (router == null) {
            throw new WireException("unknown instance: " + line);
        }
        return router;
    }

    private void guarded(Reply actions, Event event, Router router) {
        try {
            event.tell(router);
        } catch (RuntimeException e) {
            e.printStackTrace();
            actions.internalError(e);
        }
    }

    /** Parses an event in full before the router hears of it, so that a bad line is never half told. */
    private Event event(String word, int instance, Fields f) throws IOException {
        Reply actions = new Reply(reply, instance);
        Event event = switch (word) {
            case "TOPOLOGY" -> topology(f, actions);
            case "ORDER" -> order(f, actions);
            case "ENDED" -> ended(f, actions);
            case "FLOWING" -> flowing(f, actions);
            case "CLIENT_LEFT" -> clientLeft(f, actions);
            case "WAKE" -> wake(f, actions);
            case "PING_RESULT" -> pingResult(f, actions);
            case "INBOX" -> inbox(f, actions);
            default -> throw new WireException("unknown message: " + word);
        };
        f.end();
        return event;
    }

    private Event topology(Fields f, Reply actions) throws IOException {
        ListUpdateKind kind = switch (f.text()) {
            case "changes" -> ListUpdateKind.CHANGES;
            case "all" -> ListUpdateKind.FULL;
            case "remembered" -> ListUpdateKind.REMEMBERED;
            case "refused" -> ListUpdateKind.REFUSED;
            default -> throw new WireException("TOPOLOGY: unknown mode");
        };
        long version = f.longOr(0);
        long count = f.longOr(0);
        List<Node> nodes = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            nodes.add(node(new Fields(next())));
        }
        return r -> r.onNodeList(now, kind, version, nodes, actions);
    }

    private static Node node(Fields f) {
        if (!f.text().equals("NODE")) {
            throw new WireException("TOPOLOGY: fewer NODE lines than announced");
        }
        double weight = f.numberOr(1);
        String zone = f.optional();
        double startedAt = f.numberOr(0);
        Availability availability = switch (f.text()) {
            case "IN" -> Availability.UP;
            case "LAME" -> Availability.DRAINING;
            case "OUT" -> Availability.GONE;
            default -> throw new WireException("NODE: unknown availability");
        };
        String id = f.text();
        String model = f.optional();
        int cell = (int) f.longOr(0);
        f.end();
        return new Node(id, model, zone == null ? "" : zone, cell, weight, startedAt, availability);
    }

    private Event order(Fields f, Reply actions) {
        String id = f.text();
        double work = f.numberOr(0);
        double budget = f.numberOr(-1);
        String tenant = f.optional();
        long bits = f.longOr(0);
        long key = f.longOr(-1);
        String service = f.text();
        f.optional();
        Request request = new Request(id, service, tenant, key, (bits & HINT_VALID) != 0 ? work : 0, budget,
                (bits & WRITE) != 0, (bits & REPEAT) != 0);
        return r -> r.onRequest(now, request, actions);
    }

    private Event ended(Fields f, Reply actions) {
        String id = f.text();
        int attempt = f.integer();
        String node = f.text();
        Outcome outcome = outcome(f.integer());
        double elapsed = f.numberOr(0);
        boolean finished = f.flag();
        AttemptResult end = new AttemptResult(id, attempt, node, outcome, elapsed, finished, (int) f.longOr(0), f.pairs());
        return r -> r.onAttemptEnded(now, end, actions);
    }

    private Event flowing(Fields f, Reply actions) {
        String id = f.text();
        f.numberOr(0);
        int attempt = f.integer();
        String node = f.text();
        return r -> r.onStreamStarted(now, id, attempt, node, actions);
    }

    private Event clientLeft(Fields f, Reply actions) {
        String id = f.text();
        return r -> r.onClientDisconnected(now, id, actions);
    }

    private Event wake(Fields f, Reply actions) {
        String token = f.rest();
        return r -> r.onTimer(now, token, actions);
    }

    private Event pingResult(Fields f, Reply actions) {
        double elapsed = f.numberOr(0);
        String node = f.text();
        Outcome outcome = outcome(f.integer());
        Map<String, Double> load = f.pairs();
        return r -> r.onProbeResult(now, node, outcome, elapsed, load, actions);
    }

    private Event inbox(Fields f, Reply actions) {
        int from = f.integer();
        String contents = f.optional();
        try {
            byte[] bytes = contents == null ? new byte[0] : Base64.getDecoder().decode(contents);
            return r -> r.onPeerMessage(now, from, bytes, actions);
        } catch (IllegalArgumentException e) {
            throw new WireException("INBOX: not base64");
        }
    }

    private static Outcome outcome(int code) {
        if (code < 0 || code >= OUTCOMES.length) {
            throw new WireException("unknown outcome " + code);
        }
        return OUTCOMES[code];
    }

    private String next() throws IOException {
        String line = in.readLine();
        if (line == null) {
            throw new WireException("input ends inside a batch");
        }
        return line;
    }

    /** One event, ready to be told to its router. */
    private interface Event {
        void tell(Router router);
    }
}

package ridgemill.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import ridgemill.policy.Router;

/** A router that does what a test says, and keeps what it was told. */
final class Scripted implements Router {

    interface OnRequest {
        void decide(Request request, Actions out);
    }

    interface OnEnd {
        void decide(AttemptResult end, Actions out);
    }

    record Told(ListUpdateKind kind, long version, List<Node> entries) { }

    record Heard(int from, byte[] contents) { }

    final BlockingQueue<AttemptResult> ends = new LinkedBlockingQueue<>();
    final BlockingQueue<Told> lists = new LinkedBlockingQueue<>();
    final BlockingQueue<Heard> heard = new LinkedBlockingQueue<>();
    final BlockingQueue<String> gone = new LinkedBlockingQueue<>();
    final BlockingQueue<Outcome> probes = new LinkedBlockingQueue<>();
    final BlockingQueue<String> timers = new LinkedBlockingQueue<>();
    final List<Request> requests = Collections.synchronizedList(new ArrayList<>());
    volatile OnRequest onRequest = (request, out) -> out.send(request.id(), "c0", 0);
    volatile OnEnd onEnd = (end, out) -> {
        if (!end.requestFinished()) {
            out.fail(end.request());
        }
    };
    volatile OnEnd onGone = (end, out) -> { };
    volatile Runnable onTimer = () -> { };
    volatile boolean subscribes;

    static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(Peer.PATIENCE_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("nothing came");
        }
        return next;
    }

    @Override
    public void onStart(double now, Actions out) {
        if (subscribes) {
            out.subscribe();
        }
    }

    @Override
    public void onNodeList(double now, ListUpdateKind kind, long version, List<Node> entries, Actions out) {
        lists.add(new Told(kind, version, entries));
    }

    @Override
    public void onRequest(double now, Request request, Actions out) {
        requests.add(request);
        onRequest.decide(request, out);
    }

    @Override
    public void onStreamStarted(double now, String request, int attempt, String node, Actions out) { }

    @Override
    public void onAttemptEnded(double now, AttemptResult end, Actions out) {
        ends.add(end);
        onEnd.decide(end, out);
    }

    @Override
    public void onClientDisconnected(double now, String request, Actions out) {
        gone.add(request);
        onGone.decide(new AttemptResult(request, 0, "", Outcome.CANCELLED, 0, true, 0, Map.of()), out);
    }

    @Override
    public void onTimer(double now, String token, Actions out) {
        timers.add(token);
        onTimer.run();
    }

    @Override
    public void onProbeResult(double now, String node, Outcome outcome, double elapsedMs, Map<String, Double> load,
                       Actions out) {
        probes.add(outcome);
    }

    @Override
    public void onPeerMessage(double now, int from, byte[] contents, Actions out) {
        heard.add(new Heard(from, contents));
    }
}

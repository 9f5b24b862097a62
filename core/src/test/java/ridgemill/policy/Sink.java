package ridgemill.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** A fake sink that writes down every action, and a small harness around one router. */
final class Sink implements Router.Actions {

    record Sent(String request, String node, double timeoutMs) { }

    record Due(double atMs, String token) { }

    final List<String> log = new ArrayList<>();
    final List<Sent> sent = new ArrayList<>();
    final List<Due> timers = new ArrayList<>();
    final List<String> refused = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> closed = new ArrayList<>();
    final List<byte[]> told = new ArrayList<>();
    final java.util.Map<String, Reason> reasons = new java.util.HashMap<>();
    int subscriptions;

    @Override
    public void send(String request, String node, double timeoutMs) {
        log.add("send " + request + " " + node + " " + timeoutMs);
        sent.add(new Sent(request, node, timeoutMs));
    }

    @Override
    public void cancel(String request, int attempt) {
        log.add("cancel " + request + " " + attempt);
        cancelled.add(request);
    }

    @Override
    public void refuse(String request, double retryAfterMs) {
        log.add("refuse " + request + " " + retryAfterMs);
        refused.add(request);
    }

    @Override
    public void reportReason(String request, Reason why) {
        reasons.put(request, why);
    }

    @Override
    public void fail(String request) {
        log.add("fail " + request);
        failed.add(request);
    }

    @Override
    public void setTimer(double atMs, String token) {
        log.add("timer " + atMs + " " + token);
        timers.add(new Due(atMs, token));
    }

    @Override
    public void subscribe() {
        log.add("subscribe");
        subscriptions++;
    }

    @Override
    public void probe(String node) {
        log.add("probe " + node);
    }

    @Override
    public void broadcast(byte[] contents) {
        log.add("tell " + Arrays.toString(contents));
        told.add(contents);
    }

    @Override
    public void closeIdleConnections(String node) {
        log.add("close " + node);
        closed.add(node);
    }

    Sent last() {
        return sent.get(sent.size() - 1);
    }

    long sentTo(String node) {
        return sent.stream().filter(s -> s.node().equals(node)).count();
    }

    long answers(String request) {
        return refused.stream().filter(request::equals).count() + failed.stream().filter(request::equals).count();
    }
}

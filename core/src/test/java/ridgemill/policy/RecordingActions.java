package ridgemill.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Records all actions that a router requests. */
final class RecordingActions implements Router.Actions {

    record SentAttempt(String request, String node, double timeoutMs) { }

    record DueTimer(double atMs, String token) { }

    final List<String> log = new ArrayList<>();
    final List<SentAttempt> sentAttempts = new ArrayList<>();
    final List<DueTimer> timers = new ArrayList<>();
    final List<String> refusedRequests = new ArrayList<>();
    final List<String> failedRequests = new ArrayList<>();
    final List<String> cancelledRequests = new ArrayList<>();
    final List<String> closedNodes = new ArrayList<>();
    final List<byte[]> broadcasts = new ArrayList<>();
    final java.util.Map<String, Reason> reasons = new java.util.HashMap<>();
    int subscribeCalls;

    @Override
    public void send(String request, String node, double timeoutMs) {
        log.add("send " + request + " " + node + " " + timeoutMs);
        sentAttempts.add(new SentAttempt(request, node, timeoutMs));
    }

    @Override
    public void cancel(String request, int attempt) {
        log.add("cancel " + request + " " + attempt);
        cancelledRequests.add(request);
    }

    @Override
    public void refuse(String request, double retryAfterMs) {
        log.add("refuse " + request + " " + retryAfterMs);
        refusedRequests.add(request);
    }

    @Override
    public void reportReason(String request, Reason reason) {
        reasons.put(request, reason);
    }

    @Override
    public void fail(String request) {
        log.add("fail " + request);
        failedRequests.add(request);
    }

    @Override
    public void setTimer(double atMs, String token) {
        log.add("setTimer " + atMs + " " + token);
        timers.add(new DueTimer(atMs, token));
    }

    @Override
    public void subscribe() {
        log.add("subscribe");
        subscribeCalls++;
    }

    @Override
    public void probe(String node) {
        log.add("probe " + node);
    }

    @Override
    public void broadcast(byte[] contents) {
        log.add("broadcast " + Arrays.toString(contents));
        broadcasts.add(contents);
    }

    @Override
    public void closeIdleConnections(String node) {
        log.add("closeIdleConnections " + node);
        closedNodes.add(node);
    }

    SentAttempt lastSent() {
        return sentAttempts.get(sentAttempts.size() - 1);
    }

    long sentTo(String node) {
        return sentAttempts.stream().filter(s -> s.node().equals(node)).count();
    }

    /** Number of final answers to a request; must never exceed 1. */
    long finalAnswers(String request) {
        return refusedRequests.stream().filter(request::equals).count()
                + failedRequests.stream().filter(request::equals).count();
    }
}

package ridgemill.benchlink;

import java.util.Base64;
import ridgemill.policy.Router.Actions;

/** Writes one instance's actions as lines of the reply. */
final class Reply implements Actions {

    private final StringBuilder lines;
    private final int instance;

    Reply(StringBuilder lines, int instance) {
        this.lines = lines;
        this.instance = instance;
    }

    @Override
    public void send(String request, String node, double timeoutMs) {
        begin("DELIVER").append(' ').append(request).append(' ').append(node).append(' ');
        millis(timeoutMs).append('\n');
    }

    @Override
    public void cancel(String request, int attempt) {
        begin("DROP_ATTEMPT").append(' ').append(request).append(' ').append(attempt).append('\n');
    }

    @Override
    public void refuse(String request, double retryAfterMs) {
        begin("PUSH_BACK").append(' ').append(request).append(' ');
        millis(retryAfterMs).append('\n');
    }

    @Override
    public void fail(String request) {
        begin("DROP_REQUEST").append(' ').append(request).append('\n');
    }

    @Override
    public void setTimer(double atMs, String token) {
        begin("ARM").append(' ');
        millis(atMs).append(' ').append(token).append('\n');
    }

    @Override
    public void subscribe() {
        begin("SUBSCRIBE").append(" 1\n");
    }

    @Override
    public void probe(String node) {
        begin("ASK_LOAD").append(' ').append(node).append('\n');
    }

    @Override
    public void broadcast(byte[] contents) {
        begin("ANNOUNCE").append(" -1 ").append(Base64.getEncoder().encodeToString(contents)).append('\n');
    }

    @Override
    public void closeIdleConnections(String node) {
        begin("HANG_UP").append(' ').append(node).append('\n');
    }

    /** Reports that the decisions broke. */
    void internalError(Throwable cause) {
        String text = String.valueOf(cause).replace('\n', ' ').replace('\r', ' ');
        begin("INTERNAL_ERROR").append(' ').append(text).append('\n');
    }

    private StringBuilder begin(String word) {
        return lines.append(word).append(' ').append(instance);
    }

    /** Milliseconds with three decimals at most, never in scientific notation. */
    private StringBuilder millis(double value) {
        long micros = Math.round(value * 1000);
        if (micros < 0) {
            lines.append('-');
            micros = -micros;
        }
        lines.append(micros / 1000);
        long fraction = micros % 1000;
        if (fraction != 0) {
            lines.append('.').append((char) ('0' + fraction / 100)).append((char) ('0' + fraction / 10 % 10))
                    .append((char) ('0' + fraction % 10));
        }
        return lines;
    }
}

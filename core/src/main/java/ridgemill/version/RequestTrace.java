package ridgemill.version;

import java.util.ArrayList;
import java.util.List;
import ridgemill.core.RequestCounters.RequestResult;
import ridgemill.core.VersionTracker;
import ridgemill.policy.Reason;
import ridgemill.policy.Router.Outcome;

/** What one request was decided under, and what became of it. Used by one thread. */
public final class RequestTrace implements VersionTracker.RequestVersion {

    /** One attempt: {@code outcome} is null while it is out. */
    public record Attempt(String node, double sentMs, double endMs, Outcome outcome) { }

    private final VersionPeriod period;
    private final String id;
    private final String service;
    private final String group;
    private final long hostList;
    private final double startMs;
    private final List<Attempt> attempts = new ArrayList<>();
    private RequestResult end;
    private Reason reason = Reason.UNSAID;
    private double endMs = Double.NaN;

    RequestTrace(VersionPeriod era, String id, String service, String group, long list, double fromMs) {
        this.period = era;
        this.id = id;
        this.service = service;
        this.group = group;
        this.hostList = list;
        this.startMs = fromMs;
    }

    @Override
    public void requestEnded(double nowMs, String of, RequestResult as, Reason because) {
        endMs = nowMs;
        end = as;
        reason = because;
        period.requestEnded(nowMs, of, as, because);
    }

    @Override
    public void attemptSent(double nowMs, String node) {
        attempts.add(new Attempt(node, nowMs, Double.NaN, null));
    }

    @Override
    public void attemptEnded(double nowMs, Outcome outcome) {
        int last = attempts.size() - 1;
        Attempt out = last < 0 ? null : attempts.get(last);
        if (out != null && out.outcome() == null) {
            attempts.set(last, new Attempt(out.node(), out.sentMs(), nowMs, outcome));
        }
    }

    @Override
    public void attemptWritten() {
        period.attemptWritten();
    }

    @Override
    public String versionLabel() {
        return period.versionLabel();
    }

    /** What it was decided under. */
    public VersionPeriod period() {
        return period;
    }

    public String id() {
        return id;
    }

    /** Its class. */
    public String service() {
        return service;
    }

    /** The group of nodes that it went to. */
    public String group() {
        return group;
    }

    /** The number of that group's host list when it began. */
    public long hostList() {
        return hostList;
    }

    /** When it was taken. */
    public double startMs() {
        return startMs;
    }

    /** When it ended; NaN while it is open. */
    public double endMs() {
        return endMs;
    }

    /** Its attempts, in turn. */
    public List<Attempt> sent() {
        return List.copyOf(attempts);
    }

    /** How it ended; null while it is open. */
    public RequestResult end() {
        return end;
    }

    /** Why it ended so, as far as somebody said. */
    public Reason reason() {
        return reason;
    }
}

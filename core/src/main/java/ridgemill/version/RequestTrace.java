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

    private final VersionPeriod era;
    private final String id;
    private final String service;
    private final String group;
    private final long list;
    private final double fromMs;
    private final List<Attempt> sent = new ArrayList<>();
    private RequestResult end;
    private Reason why = Reason.UNSAID;
    private double overMs = Double.NaN;

    RequestTrace(VersionPeriod era, String id, String service, String group, long list, double fromMs) {
        this.era = era;
        this.id = id;
        this.service = service;
        this.group = group;
        this.list = list;
        this.fromMs = fromMs;
    }

    @Override
    public void requestEnded(double nowMs, String of, RequestResult as, Reason because) {
        overMs = nowMs;
        end = as;
        why = because;
        era.requestEnded(nowMs, of, as, because);
    }

    @Override
    public void attemptSent(double nowMs, String node) {
        sent.add(new Attempt(node, nowMs, Double.NaN, null));
    }

    @Override
    public void attemptEnded(double nowMs, Outcome outcome) {
        int last = sent.size() - 1;
        Attempt out = last < 0 ? null : sent.get(last);
        if (out != null && out.outcome() == null) {
            sent.set(last, new Attempt(out.node(), out.sentMs(), nowMs, outcome));
        }
    }

    @Override
    public void attemptWritten() {
        era.attemptWritten();
    }

    @Override
    public String versionLabel() {
        return era.versionLabel();
    }

    /** What it was decided under. */
    public VersionPeriod period() {
        return era;
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
        return list;
    }

    /** When it was taken. */
    public double startMs() {
        return fromMs;
    }

    /** When it ended; NaN while it is open. */
    public double endMs() {
        return overMs;
    }

    /** Its attempts, in turn. */
    public List<Attempt> sent() {
        return List.copyOf(sent);
    }

    /** How it ended; null while it is open. */
    public RequestResult end() {
        return end;
    }

    /** Why it ended so, as far as somebody said. */
    public Reason reason() {
        return why;
    }
}

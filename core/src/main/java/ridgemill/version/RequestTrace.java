package ridgemill.version;

import java.util.ArrayList;
import java.util.List;
import ridgemill.core.RequestCounters.RequestResult;
import ridgemill.core.VersionTracker;
import ridgemill.policy.Reason;
import ridgemill.policy.Router.Outcome;

/** The version under which one request was handled, its attempts and its result. Used by one thread. */
public final class RequestTrace implements VersionTracker.RequestVersion {

    /** An attempt at a node; {@code outcome} is null and {@code endMs} NaN while it is open. */
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

    RequestTrace(VersionPeriod period, String id, String service, String group, long hostList, double startMs) {
        this.period = period;
        this.id = id;
        this.service = service;
        this.group = group;
        this.hostList = hostList;
        this.startMs = startMs;
    }

    @Override
    public void requestEnded(double nowMs, String service, RequestResult result, Reason cause) {
        endMs = nowMs;
        end = result;
        reason = cause;
        period.requestEnded(nowMs, service, result, cause);
    }

    @Override
    public void attemptSent(double nowMs, String node) {
        attempts.add(new Attempt(node, nowMs, Double.NaN, null));
    }

    @Override
    public void attemptEnded(double nowMs, Outcome outcome) {
        int last = attempts.size() - 1;
        Attempt open = last < 0 ? null : attempts.get(last);
        if (open != null && open.outcome() == null) {
            attempts.set(last, new Attempt(open.node(), open.sentMs(), nowMs, outcome));
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

    /** Returns the period under whose version the request was handled. */
    public VersionPeriod period() {
        return period;
    }

    public String id() {
        return id;
    }

    /** Returns the name of its service class. */
    public String service() {
        return service;
    }

    /** Returns the group of nodes that it was sent to. */
    public String group() {
        return group;
    }

    /** Returns the number of that group's host list when the request began. */
    public long hostList() {
        return hostList;
    }

    /** Returns the time at which the request was taken. */
    public double startMs() {
        return startMs;
    }

    /** Returns the time at which the request ended; NaN while it is open. */
    public double endMs() {
        return endMs;
    }

    /** Returns its attempts in their order. */
    public List<Attempt> attempts() {
        return List.copyOf(attempts);
    }

    /** Returns how the request ended; null while it is open. */
    public RequestResult end() {
        return end;
    }

    /** Returns why it ended that way, if a reason was given. */
    public Reason reason() {
        return reason;
    }
}

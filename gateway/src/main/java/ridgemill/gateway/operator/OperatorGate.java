package ridgemill.gateway.operator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import ridgemill.serviceclass.ServiceClassPolicy;
import ridgemill.core.AdmissionController;
import ridgemill.core.Intake;
import ridgemill.gateway.operator.OperatorConfig.Resolved;
import ridgemill.gateway.operator.OperatorConfig.Target;
import ridgemill.limit.Limiter;
import ridgemill.limit.LoopShare;
import ridgemill.policy.Router.DeduplicationScope;
import ridgemill.policy.Router.RetryPolicy;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.policy.Router.Settings;
import ridgemill.route.Route;

/**
 * Holds requests to an operator file: its routes say of which class they are, its classes what holds for them, its limits
 * which are turned away. A request that went on keeps the class that it was given, whatever file comes next. Used on the
 * loop alone.
 */
public final class OperatorGate implements AdmissionController {

    /** When one that is turned away as this proxy has stepped aside may come back; another proxy may take it at once. */
    private static final double ASIDE_BACK_MS = 1000;

    private final Map<String, ServiceClass> platform = new HashMap<>();
    private final Limiter limiter;
    private OperatorConfig config;
    private BooleanSupplier aside = () -> false;
    private Map<String, ServiceClass> classes = Map.of();

    /** The gate of a proxy that keeps the file's limits by itself. */
    public OperatorGate(Settings settings, OperatorConfig config, double nowMs) {
        this(settings, config, nowMs, null);
    }

    /** The gate of one loop of several, which keep the file's limits together. */
    public OperatorGate(Settings settings, OperatorConfig config, double nowMs, LoopShare share) {
        settings.classes().forEach(c -> platform.put(c.name(), c));
        limiter = new Limiter(config.limits(), nowMs, share);
        take(config);
    }

    /** Another file holds from now on. Limits that did not change keep their fill. */
    public void changeTo(OperatorConfig next, double nowMs) {
        limiter.changeTo(next.limits(), nowMs);
        take(next);
    }

    private void take(OperatorConfig next) {
        config = next;
        Map<String, ServiceClass> all = new HashMap<>(platform);
        next.classes().values().forEach(p -> all.put(p.name(), service(p, platform.get(p.name()))));
        classes = all;
    }

    /** All classes that hold: the file's, and the platform's that it does not name. */
    public List<ServiceClass> classes() {
        return new ArrayList<>(classes.values());
    }

    private static ServiceClass service(ServiceClassPolicy p, ServiceClass there) {
        return new ServiceClass(p.name(), p.targetLatencyMs(), 0, p.totalTimeoutMs(), p.value(), there == null ? 0 : there.lateValueShare(),
                p.effect(), there == null ? DeduplicationScope.ALL : there.deduplicationScope(), p.deduplicationWindowMs(), false, new RetryPolicy(p.maxAttempts(),
                p.attemptTimeoutMs(), p.backoff().initialMs(), p.backoff().factor(), p.backoff().maxMs()));
    }

    /** While this is so all are turned away: this proxy does not act as the fleet does. */
    void aside(BooleanSupplier isAside) {
        aside = isAside;
    }

    @Override
    public Decision admit(double nowMs, AdmissionRequest a) {
        if (aside.getAsBoolean()) {
            return new Rejected("shut-out", ASIDE_BACK_MS);
        }
        Resolved got = config.resolve(a.query(), a.requestedClass());
        ServiceClass service = got.service() == null ? null : classes.get(got.service());
        if (service == null) {
            return new Invalid(InvalidReason.UNKNOWN_CLASS);
        }
        ServiceClassPolicy policy = got.policy().orElse(null);
        if (policy != null && a.bodyBytes() > policy.maxBodyBytes()) {
            return new Invalid(InvalidReason.TOO_LARGE);
        }
        double budgetMs = Math.min(a.budgetMs(), service.deadlineMs());
        String group = got.route().map(Route::target).map(Target::group).orElse(Intake.PLATFORM_GROUP);
        Limiter.Verdict verdict = limiter.admit(nowMs, a.id(), a.query().tenant(), service.name(), a.retry());
        if (verdict instanceof Limiter.Refused refused) {
            return new Rejected(refused.reason().name(), refused.retryAfterMs());
        }
        return verdict instanceof Limiter.Queued queued
                ? new Admitted(service, budgetMs, group, queued.maxWaitMs(), queued.displaced())
                : new Admitted(service, budgetMs, group, 0, null);
    }

    /** Whether a request that waits in line came under what no longer holds: its class or its group is another now. */
    boolean isOutdated(Admitted go) {
        return !go.serviceClass().equals(classes.get(go.serviceClass().name()))
                || !go.group().equals(Intake.PLATFORM_GROUP) && !config.groups().containsKey(go.group());
    }

    @Override
    public void requestEnded(double nowMs, String service) {
        limiter.ended(nowMs, service);
    }

    @Override
    public String nextQueued() {
        return limiter.admitNext();
    }

    @Override
    public double withdraw(double nowMs, String id) {
        return limiter.withdraw(nowMs, id);
    }

    /** What its loop used of limits that several keep together. */
    LoopShare.UsageReport report(double nowMs) {
        return limiter.report(nowMs);
    }

    /** What its loop has in flight of them. */
    LoopShare.InFlightReport held() {
        return limiter.inFlightReport();
    }

    /** What its loop may use of them from now on. */
    void take(LoopShare.Grant grant, double nowMs) {
        limiter.apply(grant, nowMs);
    }

    int inFlight() {
        return limiter.inFlight();
    }

    int inLine() {
        return limiter.queueLength();
    }

    @Override
    public int maxConnectionsPerClient() {
        return config.limits().connectionsPerClient();
    }
}

package ridgemill.gateway.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import ridgemill.serviceclass.ServiceClassPolicy;
import ridgemill.serviceclass.ServiceClassValidator;
import ridgemill.gateway.operator.OperatorConfig.Resolved;
import ridgemill.gateway.operator.OperatorConfig.Target;
import ridgemill.limit.Limits;
import ridgemill.limit.Rate;
import ridgemill.route.RouteQuery;
import ridgemill.route.Route;

/** Says in lines what a request gets under an operator file, and why. */
public final class Explanation {

    private Explanation() { }

    /** The lines; {@code named} is the class that the request names itself, or null. */
    public static List<String> of(OperatorConfig config, RouteQuery query, String named) {
        List<String> lines = new ArrayList<>();
        Resolved got = config.resolve(query, named);
        lines.add(got.route().map(r -> "route   " + r.name() + ": " + r.pathPattern().text() + conditions(r))
                .orElse("route   none: the platform's settings alone hold"));
        config.routes().routes().stream().filter(r -> r.matches(query) && !got.route().map(r::equals).orElse(false))
                .forEach(r -> lines.add("        " + r.name() + " takes it too, and is less specific: " + r.pathPattern().text()
                        + conditions(r)));
        String service = got.service();
        String from = got.route().map(Route::target).map(Target::service).isPresent() ? "from the route"
                : named == null ? "none is named" : "from the request";
        lines.add(got.policy().map(p -> "class   " + p.name() + ", " + from).orElse("class   "
                + (service == null ? "none" : service + ", which the file does not define") + ", " + from));
        got.policy().ifPresent(p -> policy(p, lines));
        lines.add("group   " + got.route().map(Route::target).map(Target::group).map(g -> group(config.groups().get(g)))
                .orElse("the platform's nodes"));
        limits(config.limits(), service, query.tenant(), lines);
        return lines;
    }

    private static String group(NodeGroup g) {
        return g.name() + ", " + g.protocol() + ": " + g.members().size() + " nodes"
                + (g.eureka() == null ? "" : ", and those of " + g.eureka() + " in the registry")
                + (g.store() == null ? ", a miss is the end" : ", misses are fetched from its store");
    }

    private static String conditions(Route<?> r) {
        StringBuilder text = new StringBuilder();
        Optional.ofNullable(r.conditions().method()).ifPresent(m -> text.append(", method ").append(m));
        Optional.ofNullable(r.conditions().tenant()).ifPresent(t -> text.append(", tenant ").append(t));
        r.conditions().headers().forEach((n, v) -> text.append(", header ").append(n).append(" ").append(v));
        Optional.ofNullable(r.conditions().keyRange()).ifPresent(k -> text.append(", keys from ")
                .append(k.from() == null ? "the first" : k.from()).append(" to before ")
                .append(k.to() == null ? "the end" : k.to()));
        return text.toString();
    }

    private static void policy(ServiceClassPolicy p, List<String> lines) {
        lines.add("        %s to repeat; answered within %s, wanted within %s".formatted(ServiceClassValidator.configName(p.effect()),
                ms(p.totalTimeoutMs()), ms(p.targetLatencyMs())));
        for (int i = 1; i <= p.maxAttempts(); i++) {
            lines.add("        attempt %d of %d begins after %s at the latest and is given up after %s".formatted(i,
                    p.maxAttempts(), ms(p.latestStartMs(i)), ms(p.attemptTimeoutMs())));
        }
    }

    private static void limits(Limits limits, String service, String tenant, List<String> lines) {
        if (limits.inFlight() < Integer.MAX_VALUE) {
            lines.add("limit   " + limits.inFlight() + " requests in flight over all classes");
        }
        if (limits.queue() != null) {
            lines.add("limit   past that " + limits.queue().capacity() + " may wait, each for " + ms(limits.queue().maxWaitMs())
                    + " at most");
        }
        if (limits.connectionsPerClient() < Integer.MAX_VALUE) {
            lines.add("limit   " + limits.connectionsPerClient() + " connections from one address");
        }
        Optional.ofNullable(service == null ? null : limits.classInFlight().get(service))
                .ifPresent(n -> lines.add("limit   " + n + " requests in flight of class " + service));
        Optional.ofNullable(service == null ? null : limits.classRate().get(service))
                .ifPresent(r -> lines.add("limit   " + rate(r) + " of class " + service));
        Rate own = tenant == null ? null : limits.tenantRate().get(tenant);
        if (own != null) {
            lines.add("limit   " + rate(own) + " of tenant " + tenant);
        } else if (limits.unknownTenantRate() != null) {
            lines.add("limit   " + rate(limits.unknownTenantRate()) + " of a tenant that is not named");
        }
        if (limits.retryBudget() != null) {
            lines.add(String.format(Locale.ROOT, "limit   retries: %.0f%% of first tries and %s a second",
                    100 * limits.retryBudget().retryRatio(), number(limits.retryBudget().minPerSecond())));
        }
    }

    private static String rate(Rate r) {
        return number(r.perSecond()) + "/s with a burst of " + number(r.burst());
    }

    private static String ms(double ms) {
        return number(ms) + "ms";
    }

    private static String number(double n) {
        return n == Math.rint(n) ? String.valueOf((long) n) : String.format(Locale.ROOT, "%.1f", n);
    }
}

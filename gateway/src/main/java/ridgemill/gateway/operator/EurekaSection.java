package ridgemill.gateway.operator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import ridgemill.gateway.membership.eureka.EurekaClient;
import ridgemill.gateway.membership.eureka.EurekaRegistration;
import ridgemill.gateway.membership.eureka.EurekaSettings;
import ridgemill.gateway.net.Addresses;
import ridgemill.registry.RegistryReadPolicy;

/** {@code [eureka]}: a registry that tells of nodes. */
final class EurekaSection {

    /** What the time from a change in the registry to the last request may be, of which a poll is a part. */
    private static final double MOST_POLL_MS = 1600;
    private static final double LEAST_MS = 100;
    /** The same where one proxy reads for all: its poll, what it tells, the silence once it is gone, and a poll of one's own. */
    private static final double MOST_TOLD_MS = 1900;

    private EurekaSection() { }

    /** How the registry is read, without its applications; null where none is named. */
    static EurekaSettings read(Section root) {
        return root.table("eureka").map(EurekaSection::settings).orElse(null);
    }

    /** What of the gateway itself is registered; null for nothing. */
    static EurekaRegistration.Self register(Section root) {
        return root.table("eureka").flatMap(s -> s.table("register")).flatMap(s -> {
            Optional<String> app = s.text("app").map(a -> a.toUpperCase(Locale.ROOT));
            Optional<InetSocketAddress> address = s.address("address");
            String zone = s.text("zone").orElse("");
            for (String key : List.of("app", "address")) {
                if (!s.has(key)) {
                    s.problem(null, "missing", "has no " + key, key.equals("app") ? "set app = \"GATEWAY\""
                            : "set address = \"10.0.0.4:8080\", where clients reach it");
                }
            }
            Optional<String> id = s.text("id").or(() -> address.map(Addresses::text));
            EurekaRegistration.oddities(app, id).forEach(t -> s.problem(null, "bad-name",
                    "\"" + t + "\" can't stand in a registry's path", "use letters, digits and . _ : -"));
            s.done();
            return app.isEmpty() || address.isEmpty() ? Optional.<EurekaRegistration.Self>empty()
                    : Optional.of(new EurekaRegistration.Self(app.get(), id.orElseThrow(), address.get(), zone));
        }).orElse(null);
    }

    private static EurekaSettings settings(Section s) {
        List<String> urls = new ArrayList<>();
        for (String url : s.texts("urls")) {
            try {
                EurekaClient.check(url);
                urls.add(url);
            } catch (IllegalArgumentException e) {
                s.problem("urls", "bad-address", e.getMessage(), "write it as \"http://127.0.0.1:8761/eureka\"; no name is looked up");
            }
        }
        if (!s.has("urls")) {
            s.problem(null, "missing", "has no urls", "set urls = [\"http://127.0.0.1:8761/eureka\"]");
        }
        Optional<Boolean> delta = s.flag("delta");
        Optional<Boolean> resolve = s.flag("resolve");
        double interval = s.duration("interval").orElse(EurekaSettings.USUAL_INTERVAL_MS);
        double timeout = s.duration("timeout").orElse(EurekaSettings.USUAL_TIMEOUT_MS);
        if (interval < LEAST_MS) {
            s.problem("interval", "hammering", "a poll every " + (long) interval + "ms from each proxy is too much for a registry",
                    "set 100ms or more");
        }
        if (interval + timeout > MOST_POLL_MS) {
            s.problem(s.has("interval") ? "interval" : "timeout", "too-slow", "with a time-out of " + (long) timeout
                    + "ms a drain may be known too late to stop within 2s", "let interval and timeout be 1600ms together at most");
        }
        RegistryReadPolicy oneReader = oneReader(s, interval, timeout, resolve.orElse(false));
        s.has("register");
        s.done();
        return urls.isEmpty() ? null : new EurekaSettings(urls, List.of(), delta.orElse(false), interval, timeout,
                resolve.orElse(false), oneReader);
    }

    /** How one proxy reads for all; null where each reads for itself. */
    private static RegistryReadPolicy oneReader(Section s, double interval, double timeout, boolean resolve) {
        boolean one = s.flag("one-reader").orElse(false);
        Optional<Double> check = s.duration("one-reader-check");
        if (!one || interval < LEAST_MS) {
            return null;
        }
        if (resolve) {
            s.problem("one-reader", "one-reader-and-resolve", "what one proxy's name servers say would be taken for the registry's word",
                    "take resolve out, or one-reader");
        }
        RegistryReadPolicy usual = RegistryReadPolicy.of(interval);
        if (usual.updateTimeoutMs() + interval + 2 * timeout > MOST_TOLD_MS) {
            s.problem("one-reader", "too-slow", "where the reader is gone a drain would be known after 3 intervals and 2 time-outs, "
                    + (long) (usual.updateTimeoutMs() + interval + 2 * timeout) + "ms", "let that be 1900ms at most, as with interval = \"200ms\" and "
                    + "timeout = \"600ms\"");
        }
        if (check.isPresent() && check.get() < usual.updateTimeoutMs()) {
            s.problem("one-reader-check", "too-often", "checks what is told more often than it is told", "set " + (long) usual.updateTimeoutMs()
                    + "ms or more");
            return usual;
        }
        return check.isPresent() ? RegistryReadPolicy.of(interval, check.get()) : usual;
    }
}

package ridgemill.serviceclass;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.ServiceClass;

/** Validates a service class: finds settings that violate a rule or that can never take effect. */
public final class ServiceClassValidator {

    /** A violation: the key of the setting, the rule, the reason, and what to do about it. */
    public record Violation(String key, String rule, String reason, String remedy) { }

    private ServiceClassValidator() { }

    /** All violations; empty if the class is valid. */
    public static List<Violation> validate(ServiceClassPolicy policy, PlatformConstraints platform) {
        List<Violation> violations = new ArrayList<>();
        if (policy.hedged() && policy.effect() != Effect.SAFE) {
            violations.add(new Violation("second-copy", "second-copy", "a second copy of a class that is "
                    + configName(policy.effect()) + " could take effect twice",
                    "leave it out, or the class must be safe to repeat"));
        } else if (policy.hedged()) {
            violations.add(new Violation("second-copy", "one-attempt",
                    "two attempts of a request are never out at once",
                    "leave it out; a shorter attempt-timeout asks another node sooner"));
        }
        if (policy.targetLatencyMs() > policy.totalTimeoutMs()) {
            violations.add(new Violation("wanted", "wanted-beyond-total",
                    "wanted within " + ms(policy.targetLatencyMs()) + ", but given up after "
                    + ms(policy.totalTimeoutMs()), "lower wanted or raise total"));
        }
        if (policy.nextAttemptDelayMs() > 0 && policy.nextAttemptDelayMs() < policy.attemptTimeoutMs()) {
            violations.add(new Violation("next-attempt-after", "attempts-overlap", "the next attempt may begin after "
                    + ms(policy.nextAttemptDelayMs()) + ", while the one before is out for up to "
                    + ms(policy.attemptTimeoutMs()),
                    "raise next-attempt-after to " + ms(policy.attemptTimeoutMs()) + " or lower attempt-timeout"));
        }
        checkAttemptTimes(policy, violations);
        checkDeduplicationWindow(policy, violations);
        checkPlatform(policy, platform, violations);
        return violations;
    }

    private static void checkAttemptTimes(ServiceClassPolicy policy, List<Violation> violations) {
        double worstCaseMs = policy.worstCaseMs();
        if (worstCaseMs > policy.totalTimeoutMs()) {
            violations.add(new Violation("attempts", "attempts-exceed-total",
                    policy.maxAttempts() + " attempts take up to " + ms(worstCaseMs)
                    + ", and the request has " + ms(policy.totalTimeoutMs()),
                    "use fewer or shorter attempts, or raise total"));
        } else if (worstCaseMs > policy.targetLatencyMs() && policy.targetLatencyMs() <= policy.totalTimeoutMs()) {
            violations.add(new Violation("attempts", "attempts-exceed-wanted",
                    policy.maxAttempts() + " attempts take up to " + ms(worstCaseMs)
                    + ", and the answer is wanted within " + ms(policy.targetLatencyMs()),
                    "use fewer or shorter attempts, or raise wanted"));
        }
    }

    private static void checkDeduplicationWindow(ServiceClassPolicy policy, List<Violation> violations) {
        if (policy.effect() != Effect.KEYED) {
            if (policy.deduplicationWindowMs() > 0) {
                violations.add(new Violation("repeat-window", "window-without-key",
                        "only a keyed class has a window in which "
                        + "repeats are dropped", "leave it out, or set effect = \"keyed\""));
            }
            return;
        }
        double lastStartMs = policy.latestStartMs(policy.maxAttempts());
        if (policy.deduplicationWindowMs() <= 0) {
            violations.add(new Violation("repeat-window", "window-missing",
                    "a keyed class needs the time for which nodes drop its "
                    + "repeats", "set repeat-window to what the nodes keep, such as \"6s\""));
        } else if (lastStartMs >= policy.deduplicationWindowMs()) {
            violations.add(new Violation("repeat-window", "window-too-short", "an attempt may go out " + ms(lastStartMs)
                    + " after the first, and repeats are dropped for " + ms(policy.deduplicationWindowMs()),
                    "use fewer or shorter attempts, or a longer window if the nodes keep one"));
        }
    }

    private static void checkPlatform(ServiceClassPolicy policy, PlatformConstraints platform,
                                      List<Violation> violations) {
        if (policy.maxBodyBytes() > platform.maxBodyBytes()) {
            violations.add(new Violation("largest-body", "platform",
                    "bodies of " + policy.maxBodyBytes() + " bytes, but no more than "
                    + platform.maxBodyBytes() + " are carried", "lower it to \"64KiB\""));
        }
        if (platform.maxAttempts() > 0 && policy.maxAttempts() > platform.maxAttempts()) {
            violations.add(new Violation("attempts", "platform",
                    policy.maxAttempts() + " attempts, but the platform allows "
                    + platform.maxAttempts(), "lower attempts"));
        }
        ServiceClass platformClass = platform.classes().get(policy.name());
        if (platformClass == null) {
            return;
        }
        if (policy.effect().ordinal() < platformClass.effect().ordinal()) {
            violations.add(new Violation("effect", "platform",
                    "the platform says that this class is " + configName(platformClass.effect())
                    + ", the file that it is " + configName(policy.effect()),
                    "set effect = \"" + configName(platformClass.effect()) + "\""));
        }
        if (policy.totalTimeoutMs() > platformClass.deadlineMs()) {
            violations.add(new Violation("total", "platform",
                    "total is " + ms(policy.totalTimeoutMs()) + ", but clients wait "
                    + ms(platformClass.deadlineMs()), "lower total"));
        }
        if (policy.effect() == Effect.KEYED && platformClass.effect() == Effect.KEYED
                && policy.deduplicationWindowMs() > platformClass.deduplicationWindowMs()) {
            violations.add(new Violation("repeat-window", "platform",
                    "the file counts on " + ms(policy.deduplicationWindowMs())
                    + ", but nodes drop repeats for " + ms(platformClass.deduplicationWindowMs()),
                    "lower repeat-window"));
        }
    }

    /** The name of an effect in the operator file. */
    public static String configName(Effect effect) {
        return effect.name().toLowerCase(Locale.ROOT);
    }

    private static String ms(double ms) {
        return (ms == Math.rint(ms) ? String.valueOf((long) ms) : String.format(Locale.ROOT, "%.1f", ms)) + "ms";
    }
}

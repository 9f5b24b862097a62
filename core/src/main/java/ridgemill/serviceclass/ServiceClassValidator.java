package ridgemill.serviceclass;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.ServiceClass;

/** The checks of one class: what would break a rule, or could never do what it says. */
public final class ServiceClassValidator {

    /** One thing that is wrong: at which key, which rule, why, and what to do. */
    public record Violation(String key, String rule, String reason, String remedy) { }

    private ServiceClassValidator() { }

    /** All findings; empty if the class keeps the rules. */
    public static List<Violation> validate(ServiceClassPolicy c, PlatformConstraints platform) {
        List<Violation> found = new ArrayList<>();
        if (c.hedged() && c.effect() != Effect.SAFE) {
            found.add(new Violation("second-copy", "second-copy", "a second copy of a class that is "
                    + configName(c.effect()) + " could take effect twice", "leave it out, or the class must be safe to repeat"));
        } else if (c.hedged()) {
            found.add(new Violation("second-copy", "one-attempt", "two attempts of a request are never out at once",
                    "leave it out; a shorter attempt-timeout asks another node sooner"));
        }
        if (c.targetLatencyMs() > c.totalTimeoutMs()) {
            found.add(new Violation("wanted", "wanted-beyond-total", "wanted within " + ms(c.targetLatencyMs()) + ", but given up after "
                    + ms(c.totalTimeoutMs()), "lower wanted or raise total"));
        }
        if (c.nextAttemptDelayMs() > 0 && c.nextAttemptDelayMs() < c.attemptTimeoutMs()) {
            found.add(new Violation("next-attempt-after", "attempts-overlap", "the next attempt may begin after "
                    + ms(c.nextAttemptDelayMs()) + ", while the one before is out for up to " + ms(c.attemptTimeoutMs()),
                    "raise next-attempt-after to " + ms(c.attemptTimeoutMs()) + " or lower attempt-timeout"));
        }
        times(c, found);
        repeats(c, found);
        contradictions(c, platform, found);
        return found;
    }

    private static void times(ServiceClassPolicy c, List<Violation> found) {
        double worst = c.worstCaseMs();
        if (worst > c.totalTimeoutMs()) {
            found.add(new Violation("attempts", "attempts-exceed-total", c.maxAttempts() + " attempts take up to " + ms(worst)
                    + ", and the request has " + ms(c.totalTimeoutMs()), "use fewer or shorter attempts, or raise total"));
        } else if (worst > c.targetLatencyMs() && c.targetLatencyMs() <= c.totalTimeoutMs()) {
            found.add(new Violation("attempts", "attempts-exceed-wanted", c.maxAttempts() + " attempts take up to " + ms(worst)
                    + ", and the answer is wanted within " + ms(c.targetLatencyMs()),
                    "use fewer or shorter attempts, or raise wanted"));
        }
    }

    private static void repeats(ServiceClassPolicy c, List<Violation> found) {
        if (c.effect() != Effect.KEYED) {
            if (c.deduplicationWindowMs() > 0) {
                found.add(new Violation("repeat-window", "window-without-key", "only a keyed class has a window in which "
                        + "repeats are dropped", "leave it out, or set effect = \"keyed\""));
            }
            return;
        }
        double last = c.latestStartMs(c.maxAttempts());
        if (c.deduplicationWindowMs() <= 0) {
            found.add(new Violation("repeat-window", "window-missing", "a keyed class needs the time for which nodes drop its "
                    + "repeats", "set repeat-window to what the nodes keep, such as \"6s\""));
        } else if (last >= c.deduplicationWindowMs()) {
            found.add(new Violation("repeat-window", "window-too-short", "an attempt may go out " + ms(last)
                    + " after the first, and repeats are dropped for " + ms(c.deduplicationWindowMs()),
                    "use fewer or shorter attempts, or a longer window if the nodes keep one"));
        }
    }

    private static void contradictions(ServiceClassPolicy c, PlatformConstraints platform, List<Violation> found) {
        if (c.maxBodyBytes() > platform.maxBodyBytes()) {
            found.add(new Violation("largest-body", "platform", "bodies of " + c.maxBodyBytes() + " bytes, but no more than "
                    + platform.maxBodyBytes() + " are carried", "lower it to \"64KiB\""));
        }
        if (platform.maxAttempts() > 0 && c.maxAttempts() > platform.maxAttempts()) {
            found.add(new Violation("attempts", "platform", c.maxAttempts() + " attempts, but the platform allows "
                    + platform.maxAttempts(), "lower attempts"));
        }
        ServiceClass there = platform.classes().get(c.name());
        if (there == null) {
            return;
        }
        if (c.effect().ordinal() < there.effect().ordinal()) {
            found.add(new Violation("effect", "platform", "the platform says that this class is " + configName(there.effect())
                    + ", the file that it is " + configName(c.effect()), "set effect = \"" + configName(there.effect()) + "\""));
        }
        if (c.totalTimeoutMs() > there.deadlineMs()) {
            found.add(new Violation("total", "platform", "total is " + ms(c.totalTimeoutMs()) + ", but clients wait "
                    + ms(there.deadlineMs()), "lower total"));
        }
        if (c.effect() == Effect.KEYED && there.effect() == Effect.KEYED && c.deduplicationWindowMs() > there.deduplicationWindowMs()) {
            found.add(new Violation("repeat-window", "platform", "the file counts on " + ms(c.deduplicationWindowMs())
                    + ", but nodes drop repeats for " + ms(there.deduplicationWindowMs()), "lower repeat-window"));
        }
    }

    /** The file's word for an effect. */
    public static String configName(Effect effect) {
        return effect.name().toLowerCase(Locale.ROOT);
    }

    private static String ms(double ms) {
        return (ms == Math.rint(ms) ? String.valueOf((long) ms) : String.format(Locale.ROOT, "%.1f", ms)) + "ms";
    }
}

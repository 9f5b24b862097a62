package ridgemill.classes;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.ServiceClass;

/** The checks of one class: what would break a rule, or could never do what it says. */
public final class ClassRules {

    /** One thing that is wrong: at which key, which rule, why, and what to do. */
    public record Finding(String key, String rule, String reason, String wayOut) { }

    private ClassRules() { }

    /** All findings; empty if the class keeps the rules. */
    public static List<Finding> check(ClassPolicy c, PlatformFacts platform) {
        List<Finding> found = new ArrayList<>();
        if (c.secondCopy() && c.effect() != Effect.SAFE) {
            found.add(new Finding("second-copy", "second-copy", "a second copy of a class that is "
                    + word(c.effect()) + " could take effect twice", "leave it out, or the class must be safe to repeat"));
        } else if (c.secondCopy()) {
            found.add(new Finding("second-copy", "one-attempt", "two attempts of a request are never out at once",
                    "leave it out; a shorter attempt-timeout asks another node sooner"));
        }
        if (c.wantedMs() > c.totalMs()) {
            found.add(new Finding("wanted", "wanted-beyond-total", "wanted within " + ms(c.wantedMs()) + ", but given up after "
                    + ms(c.totalMs()), "lower wanted or raise total"));
        }
        if (c.nextAttemptMs() > 0 && c.nextAttemptMs() < c.attemptMs()) {
            found.add(new Finding("next-attempt-after", "attempts-overlap", "the next attempt may begin after "
                    + ms(c.nextAttemptMs()) + ", while the one before is out for up to " + ms(c.attemptMs()),
                    "raise next-attempt-after to " + ms(c.attemptMs()) + " or lower attempt-timeout"));
        }
        times(c, found);
        repeats(c, found);
        contradictions(c, platform, found);
        return found;
    }

    private static void times(ClassPolicy c, List<Finding> found) {
        double worst = c.worstMs();
        if (worst > c.totalMs()) {
            found.add(new Finding("attempts", "attempts-exceed-total", c.attempts() + " attempts take up to " + ms(worst)
                    + ", and the request has " + ms(c.totalMs()), "use fewer or shorter attempts, or raise total"));
        } else if (worst > c.wantedMs() && c.wantedMs() <= c.totalMs()) {
            found.add(new Finding("attempts", "attempts-exceed-wanted", c.attempts() + " attempts take up to " + ms(worst)
                    + ", and the answer is wanted within " + ms(c.wantedMs()),
                    "use fewer or shorter attempts, or raise wanted"));
        }
    }

    private static void repeats(ClassPolicy c, List<Finding> found) {
        if (c.effect() != Effect.KEYED) {
            if (c.repeatWindowMs() > 0) {
                found.add(new Finding("repeat-window", "window-without-key", "only a keyed class has a window in which "
                        + "repeats are dropped", "leave it out, or set effect = \"keyed\""));
            }
            return;
        }
        double last = c.latestStartMs(c.attempts());
        if (c.repeatWindowMs() <= 0) {
            found.add(new Finding("repeat-window", "window-missing", "a keyed class needs the time for which nodes drop its "
                    + "repeats", "set repeat-window to what the nodes keep, such as \"6s\""));
        } else if (last >= c.repeatWindowMs()) {
            found.add(new Finding("repeat-window", "window-too-short", "an attempt may go out " + ms(last)
                    + " after the first, and repeats are dropped for " + ms(c.repeatWindowMs()),
                    "use fewer or shorter attempts, or a longer window if the nodes keep one"));
        }
    }

    private static void contradictions(ClassPolicy c, PlatformFacts platform, List<Finding> found) {
        if (c.largestBody() > platform.largestBody()) {
            found.add(new Finding("largest-body", "platform", "bodies of " + c.largestBody() + " bytes, but no more than "
                    + platform.largestBody() + " are carried", "lower it to \"64KiB\""));
        }
        if (platform.maxAttempts() > 0 && c.attempts() > platform.maxAttempts()) {
            found.add(new Finding("attempts", "platform", c.attempts() + " attempts, but the platform allows "
                    + platform.maxAttempts(), "lower attempts"));
        }
        ServiceClass there = platform.classes().get(c.name());
        if (there == null) {
            return;
        }
        if (c.effect().ordinal() < there.effect().ordinal()) {
            found.add(new Finding("effect", "platform", "the platform says that this class is " + word(there.effect())
                    + ", the file that it is " + word(c.effect()), "set effect = \"" + word(there.effect()) + "\""));
        }
        if (c.totalMs() > there.deadlineMs()) {
            found.add(new Finding("total", "platform", "total is " + ms(c.totalMs()) + ", but clients wait "
                    + ms(there.deadlineMs()), "lower total"));
        }
        if (c.effect() == Effect.KEYED && there.effect() == Effect.KEYED && c.repeatWindowMs() > there.repeatWindowMs()) {
            found.add(new Finding("repeat-window", "platform", "the file counts on " + ms(c.repeatWindowMs())
                    + ", but nodes drop repeats for " + ms(there.repeatWindowMs()), "lower repeat-window"));
        }
    }

    /** The file's word for an effect. */
    public static String word(Effect effect) {
        return effect.name().toLowerCase(Locale.ROOT);
    }

    private static String ms(double ms) {
        return (ms == Math.rint(ms) ? String.valueOf((long) ms) : String.format(Locale.ROOT, "%.1f", ms)) + "ms";
    }
}

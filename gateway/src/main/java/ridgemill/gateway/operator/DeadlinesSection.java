package ridgemill.gateway.operator;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import ridgemill.deadline.DeadlinePolicy;
import ridgemill.deadline.ClientTimeout.Format;
import ridgemill.gateway.front.http.HttpClientPolicy;

/** {@code [deadlines]}: how clients say how long they wait, and what is made of it. */
final class DeadlinesSection {

    /** As many as RESP's clients may have: each holds at most one answer of 64 KiB, and all together 256. */
    private static final int MOST_SIDE_BY_SIDE = 64;
    private static final int SIDE_BY_SIDE = 16;
    private static final double MOST_RESERVE = 0.5;
    private static final List<String> FORMS = List.of("seconds", "grpc-timeout", "unix-ms");
    private static final List<String> HALF_CLOSE = List.of("leaves", "stays");

    private DeadlinesSection() { }

    static DeadlineSettings read(Section root) {
        boolean tellsWhy = root.flag("tell-reasons").orElse(false);
        return root.table("deadlines").map(s -> {
            DeadlinePolicy policy = new DeadlinePolicy(s.flag("drop").orElse(true), s.flag("unread").orElse(true),
                    s.flag("weigh-cancels").orElse(false), s.number("most-reserve", 0, MOST_RESERVE).orElse(0.1));
            boolean required = s.flag("required").orElse(true);
            HttpClientPolicy terms = new HttpClientPolicy(forms(s), !required, s.word("half-close", HALF_CLOSE).orElse("leaves").equals("stays"),
                    s.count("side-by-side", 1, MOST_SIDE_BY_SIDE).orElse(SIDE_BY_SIDE), tellsWhy);
            s.done();
            return new DeadlineSettings(policy, terms);
        }).orElseGet(() -> {
            HttpClientPolicy t = HttpClientPolicy.PLATFORM;
            return new DeadlineSettings(DeadlinePolicy.DEFAULT, new HttpClientPolicy(t.timeoutFormats(), t.timeoutOptional(), t.allowsHalfClose(), t.maxConcurrentRequests(), tellsWhy));
        });
    }

    private static Set<Format> forms(Section s) {
        Set<Format> forms = EnumSet.noneOf(Format.class);
        for (String name : s.texts("forms")) {
            int at = FORMS.indexOf(name);
            if (at < 0) {
                s.problem("forms", "unknown-word", "\"" + name + "\" is none of " + String.join(", ", FORMS),
                        "did you mean \"" + Nearest.of(name, FORMS) + "\"?");
            } else if (!forms.add(Format.values()[at])) {
                s.problem("forms", "duplicate", "\"" + name + "\" stands there twice", "leave one");
            }
        }
        if (s.has("forms") && forms.isEmpty()) {
            s.problem("forms", "missing", "names no form in which a time may be said", "name \"seconds\", or leave it out");
        }
        return forms.isEmpty() ? EnumSet.of(Format.SECONDS) : forms;
    }
}

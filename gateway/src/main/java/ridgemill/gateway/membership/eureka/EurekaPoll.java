package ridgemill.gateway.membership.eureka;

import java.util.SplittableRandom;

/**
 * Decides what a registry is asked next, which of several, and when: at the interval while it answers, another registry at
 * once where one fails, and ever later, by chance within bounds, when all of them do. Free of I/O; the time is passed in.
 */
final class EurekaPoll {

    /** The least part of the interval that is waited, by chance up to all of it, so that proxies do not ask in step. */
    private static final double LEAST_PART = 0.8;
    private static final double MOST_BACKOFF_MS = 10_000;
    /** A registry whose summary never fits is asked for all of it so seldom at most. */
    private static final double FULL_EVERY_MS = 5000;

    /** What is asked for. */
    enum Kind { APP, FULL, DELTA }

    /** One question. */
    record Ask(int url, Kind kind, String app) {

        String path() {
            return switch (kind) {
                case APP -> app.startsWith(EurekaSettings.VIP) ? "/vips/" + app.substring(EurekaSettings.VIP.length())
                        : app.startsWith(EurekaSettings.SECURE_VIP)
                        ? "/svips/" + app.substring(EurekaSettings.SECURE_VIP.length()) : "/apps/" + app;
                case FULL -> "/apps/";
                case DELTA -> "/apps/delta";
            };
        }
    }

    private final EurekaSettings settings;
    private final SplittableRandom random;
    private int url;
    private int app;
    private int failures;
    private boolean known;
    private double fullAt = Double.NEGATIVE_INFINITY;

    EurekaPoll(EurekaSettings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
    }

    /** What is to be asked now. */
    Ask next() {
        if (!settings.delta()) {
            return new Ask(url, Kind.APP, settings.apps().get(app));
        }
        return new Ask(url, known ? Kind.DELTA : Kind.FULL, null);
    }

    /**
     * An answer came and made sense.
     *
     * @param askedMs when it was asked for
     * @param fits whether what is known is what the registry has; of a delta alone it may be false
     * @return how long to wait before the next question, in milliseconds
     */
    double answered(double nowMs, double askedMs, Ask ask, boolean fits) {
        failures = 0;
        if (ask.kind() == Kind.APP) {
            app = (app + 1) % settings.apps().size();
            // Applications share the interval: each is as fresh as if it were the only one.
            return Math.max(0, askedMs + jittered(settings.intervalMs() / settings.apps().size()) - nowMs);
        }
        if (ask.kind() == Kind.FULL) {
            known = true;
            fullAt = nowMs;
        } else if (!fits) {
            known = false;
            return Math.max(0, fullAt + FULL_EVERY_MS - nowMs);
        }
        return Math.max(0, askedMs + jittered(settings.intervalMs()) - nowMs);
    }

    /** No answer came, or one that makes no sense. Returns how long to wait before the next question, in milliseconds. */
    double failed() {
        failures++;
        url = (url + 1) % settings.urls().size();
        // Another registry's deltas are not those of the one before.
        known = false;
        int rounds = failures / settings.urls().size();
        if (failures % settings.urls().size() != 0) {
            return 0;
        }
        double most = Math.min(MOST_BACKOFF_MS, settings.intervalMs() * Math.pow(2, Math.min(rounds, 10)));
        return most / 2 + random.nextDouble() * most / 2;
    }

    private double jittered(double ms) {
        return ms * (LEAST_PART + random.nextDouble() * (1 - LEAST_PART));
    }
}

package ridgemill.cdn.proxy;

import ridgemill.cdn.edge.Digits;
import ridgemill.cdn.edge.InstanceStats;

/**
 * Parses the header in which instances report their load: running requests, queued requests and slots, separated by
 * commas.
 */
final class LoadHeader {

    private static final int MAX_DIGITS = 6;

    private LoadHeader() {}

    /** Records the load of an instance in its statistics; a malformed value is ignored. */
    static void apply(InstanceStats instance, String text, double nowMs) {
        int first = text.indexOf(',');
        int second = text.indexOf(',', first + 1);
        if (first < 0 || second < 0) {
            return;
        }
        int running = parseNumber(text.substring(0, first).trim());
        int waiting = parseNumber(text.substring(first + 1, second).trim());
        int slots = parseNumber(text.substring(second + 1).trim());
        if (running >= 0 && waiting >= 0 && slots > 0) {
            instance.loadReported(nowMs, running, waiting, slots);
        }
    }

    private static int parseNumber(String text) {
        return (int) Digits.parse(text, MAX_DIGITS);
    }
}

package ridgemill.testbed.acts;

import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import ridgemill.testbed.ledger.Ledger;

/** What was done to a fleet and when, by the ledger's own clock; from any thread. */
public final class History {

    /** What a process can meet. */
    public enum What {
        STARTED,
        STOPPED,
        WENT_ON,
        KILLED,
        TERMINATED,
        CLOCK_RATE,
        CLOCK_STEP,
        WALL_CLOCK,
        NETWORK
    }

    /**
     * One event.
     *
     * @param at when it had been done, in milliseconds on the ledger's clock; a stop, from when it was asked for
     * @param who the proxy's name; empty for the network
     * @param detail in words, such as the rate of a clock
     */
    public record Event(double at, String who, What what, String detail) {
        @Override
        public String toString() {
            return "%8.1f %s %s %s".formatted(at, who, what, detail);
        }
    }

    private final Ledger ledger;
    private final ConcurrentLinkedQueue<Event> events = new ConcurrentLinkedQueue<>();

    public History(Ledger ledger) {
        this.ledger = ledger;
    }

    /** Notes an event as of now. */
    public void note(String who, What what, String detail) {
        note(ledger.now(), who, what, detail);
    }

    /** Notes an event as of a time. */
    public void note(double at, String who, What what, String detail) {
        events.add(new Event(at, who, what, detail));
    }

    /** All events, in the order in which they were noted. */
    public List<Event> events() {
        return List.copyOf(events);
    }

    /** Whether a process met this within a stretch of time. */
    public boolean met(String who, What what, double from, double to) {
        return events.stream().anyMatch(e -> e.who().equals(who) && e.what() == what && e.at() >= from && e.at() <= to);
    }
}

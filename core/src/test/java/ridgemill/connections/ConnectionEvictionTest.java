package ridgemill.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ConnectionEvictionTest {

    private record Seen(String name, boolean isBusy, boolean isKeepAlive, boolean wasRead, boolean hasPartialRequest, double lastActivityMs)
            implements ConnectionEviction.Candidate { }

    private static final double NOW = 10_000;

    private static Seen silent(String name, double last) {
        return new Seen(name, false, false, true, false, last);
    }

    private static Seen writing(String name, double last) {
        return new Seen(name, false, false, true, true, last);
    }

    private static Seen kept(String name, double last) {
        return new Seen(name, false, true, true, false, last);
    }

    private static final Seen BUSY = new Seen("busy", true, false, true, false, 0);
    private static final Seen UNREAD = new Seen("unread", false, false, false, false, NOW);

    private static String goes(Seen... guests) {
        Seen goes = ConnectionEviction.selectVictim(List.of(guests), NOW);
        return goes == null ? null : goes.name();
    }

    @Test
    void whoSaysNothingGoesFirstAndWhoGoesOnWritingStays() {
        Seen slow = writing("slow", NOW - 100);
        assertEquals("silent", goes(BUSY, slow, silent("silent", NOW - 50), writing("stopped", NOW - 2000), kept("kept", NOW - 3000)));
        assertEquals("old", goes(silent("new", NOW - 5), silent("old", NOW - 50)));
        assertEquals("stopped", goes(BUSY, slow, writing("stopped", NOW - 700), kept("kept", NOW - 3000)));
        assertEquals("kept", goes(BUSY, slow, writing("halting", NOW - 300), kept("kept", NOW - 3000)));
        assertEquals("halting", goes(BUSY, slow, writing("halting", NOW - 300)));
        assertNull(goes(BUSY, slow));
        assertNull(goes());
    }

    @Test
    void noKeptOneGoesWhileOneIsUnread() {
        assertNull(goes(kept("kept", 0), UNREAD));
        assertEquals("silent", goes(kept("kept", 0), UNREAD, silent("silent", NOW - 3)));
    }

    /** In virtual time: stoppers come all the time, and a request that is written over 2 s keeps its place. */
    @Test
    void aSlowWriterEndsAmongThoseThatStopHalfWay() {
        long seed = new SplittableRandom().nextLong();
        SplittableRandom random = new SplittableRandom(seed);
        int places = 60;
        List<Seen> there = new ArrayList<>();
        there.add(writing("slow", 0));
        int turnedAway = 0;
        for (int ms = 0; ms <= 2000; ms += 10) {
            if (ms % 120 == 0) {
                there.removeIf(g -> g.name().equals("slow"));
                there.add(writing("slow", ms));
            }
            if (there.size() >= places) {
                Seen goes = ConnectionEviction.selectVictim(there, ms);
                assertTrue(goes == null || !goes.name().equals("slow"), "seed " + seed);
                if (goes == null) {
                    turnedAway++;
                    continue;
                }
                there.remove(goes);
            }
            there.add(random.nextBoolean() ? silent("silent", ms) : writing("stopped", ms));
        }
        assertTrue(there.stream().anyMatch(g -> g.name().equals("slow")), "seed " + seed);
        assertTrue(turnedAway < 100, turnedAway + " waited, seed " + seed);
    }
}

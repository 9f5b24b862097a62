package ridgemill.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Which connection is closed when room is needed. */
class ConnectionEvictionTest {

    private record Connection(String name, boolean isBusy, boolean isKeepAlive, boolean wasRead,
            boolean hasPartialRequest, double lastActivityMs)
            implements ConnectionEviction.Candidate { }

    private static final double NOW = 10_000;

    private static Connection silent(String name, double lastMs) {
        return new Connection(name, false, false, true, false, lastMs);
    }

    private static Connection writing(String name, double lastMs) {
        return new Connection(name, false, false, true, true, lastMs);
    }

    private static Connection keepAlive(String name, double lastMs) {
        return new Connection(name, false, true, true, false, lastMs);
    }

    private static final Connection BUSY = new Connection("busy", true, false, true, false, 0);
    private static final Connection UNREAD = new Connection("unread", false, false, false, false, NOW);

    private static String victim(Connection... candidates) {
        Connection victim = ConnectionEviction.selectVictim(List.of(candidates), NOW);
        return victim == null ? null : victim.name();
    }

    @Test
    void silentConnectionsAreClosedFirstAndSlowWritersStay() {
        Connection slow = writing("slow", NOW - 100);
        assertEquals("silent", victim(BUSY, slow, silent("silent", NOW - 50), writing("stopped", NOW - 2000),
                keepAlive("kept", NOW - 3000)));
        assertEquals("old", victim(silent("new", NOW - 5), silent("old", NOW - 50)));
        assertEquals("stopped", victim(BUSY, slow, writing("stopped", NOW - 700), keepAlive("kept", NOW - 3000)));
        assertEquals("kept", victim(BUSY, slow, writing("paused", NOW - 300), keepAlive("kept", NOW - 3000)));
        assertEquals("paused", victim(BUSY, slow, writing("paused", NOW - 300)));
        assertNull(victim(BUSY, slow));
        assertNull(victim());
    }

    @Test
    void noKeepAliveConnectionIsClosedWhileOneIsUnread() {
        assertNull(victim(keepAlive("kept", 0), UNREAD));
        assertEquals("silent", victim(keepAlive("kept", 0), UNREAD, silent("silent", NOW - 3)));
    }

    /** In simulated time: clients that stop keep arriving, and a request that is sent over 2 s keeps its connection. */
    @Test
    void slowWriterFinishesAmongClientsThatStop() {
        long seed = new SplittableRandom().nextLong();
        SplittableRandom random = new SplittableRandom(seed);
        int capacity = 60;
        List<Connection> connections = new ArrayList<>();
        connections.add(writing("slow", 0));
        int rejected = 0;
        for (int nowMs = 0; nowMs <= 2000; nowMs += 10) {
            if (nowMs % 120 == 0) {
                connections.removeIf(c -> c.name().equals("slow"));
                connections.add(writing("slow", nowMs));
            }
            if (connections.size() >= capacity) {
                Connection victim = ConnectionEviction.selectVictim(connections, nowMs);
                assertTrue(victim == null || !victim.name().equals("slow"), "seed " + seed);
                if (victim == null) {
                    rejected++;
                    continue;
                }
                connections.remove(victim);
            }
            connections.add(random.nextBoolean() ? silent("silent", nowMs) : writing("stopped", nowMs));
        }
        assertTrue(connections.stream().anyMatch(c -> c.name().equals("slow")), "seed " + seed);
        assertTrue(rejected < 100, rejected + " had no victim, seed " + seed);
    }
}

package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ridgemill.core.Attempt;
import ridgemill.core.Command;
import ridgemill.gateway.back.NodeConnectionPool;
import ridgemill.gateway.back.ConnectionLimit;
import ridgemill.gateway.back.http.HttpNodeConnection;
import ridgemill.gateway.membership.HostList;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.Transport;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.Node;
import ridgemill.policy.Router.Outcome;

/** A node that says 60 s and drops kept connections after 200 ms; idle time passes on a clock of the test's own. */
class IdleAgesTest {

    private static final long DROPPED_MS = 200;
    private static final long OLD_MS = 500;
    private static final long YOUNG_MS = 50;
    private static final int ROUNDS = 60;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicLong nanos = new AtomicLong();
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final Set<Integer> known = new HashSet<>();
    private Peer node;
    private NodeConnectionPool pool;
    private EventLoop loop;

    @BeforeEach
    void start() throws Exception {
        node = new Peer();
        loop = group.next();
        pool = new NodeConnectionPool(loop, Transport.TCP, HttpNodeConnection::new, 5000, 60_000, new ConnectionLimit(100), nanos::get);
        Node named = new Node("c0", "std", "a", 0, 1, 0, Availability.UP);
        loop.submit(() -> pool.applyHostList(new HostList(1, true, List.of(new HostList.Host(named, node.address()))))).get();
    }

    @AfterEach
    void stop() throws Exception {
        node.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
    }

    /** One exchange after so long an idle time; whether its connection was a kept one, and how it ended. */
    private record Use(boolean kept, Outcome outcome) { }

    private record Read() implements Attempt<Content> {
        @Override
        public String requestId() {
            return "a1";
        }

        @Override
        public Command<Content> command() {
            return new Command<>(false, "/api/k1", null, Content.EMPTY);
        }

        @Override
        public double remainingMs() {
            return 60_000;
        }
    }

    private Use use(long idleMs) throws Exception {
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(idleMs));
        loop.execute(() -> pool.send("c0", new Read(), 60_000, (outcome, answer) -> outcomes.add(outcome)));
        Peer.Message request = node.next();
        while (request.text() == null) {
            request = node.next();
        }
        boolean kept = !known.add(request.wire().number());
        if (kept && idleMs >= DROPPED_MS) {
            request.wire().close();
        } else {
            request.wire().answer(200, "v");
        }
        Outcome outcome = outcomes.poll(Peer.PATIENCE_S, TimeUnit.SECONDS);
        assertNotNull(outcome);
        if (outcome == Outcome.OK) {
            rested();
        }
        return new Use(kept, outcome);
    }

    /** Waits until the connection's rest is over, which its clock and a timer of the loop end. */
    private void rested() throws Exception {
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(5));
        while (!loop.submit(pool::isCooldownOver).get()) {
            loop.schedule(() -> { }, 1, TimeUnit.MILLISECONDS).get();
        }
    }

    @Test
    void connectionsAreNotUsedAtAnAgeAtWhichTheyBreak() throws Exception {
        int early = 0;
        int late = 0;
        for (int i = 0; i < ROUNDS; i++) {
            Use use = use(OLD_MS);
            assertEquals(use.kept() ? Outcome.RESET : Outcome.OK, use.outcome());
            early += i < ROUNDS / 2 && use.kept() ? 1 : 0;
            late += i >= ROUNDS / 2 && use.kept() ? 1 : 0;
        }
        assertTrue(early > 0, "the stated time is believed at first");
        // What was learned fades over 20 s of this clock, so an age is tried again now and then.
        assertTrue(late <= ROUNDS / 10, late + " of the last " + ROUNDS / 2 + " requests went to a dead connection");
        use(YOUNG_MS);
        assertEquals(new Use(true, Outcome.OK), use(YOUNG_MS), "younger ones are kept");
    }
}

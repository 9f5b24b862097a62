package ridgemill.cdn.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests when a stopping process ends, and what it does with connections until then. */
class GracefulShutdownTest {

    private static final long NEVER_MS = 60_000;

    private ProxyFixture proxy;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final AtomicInteger exits = new AtomicInteger();

    @BeforeEach
    void start() throws Exception {
        proxy = new ProxyFixture();
    }

    @AfterEach
    void stop() throws Exception {
        proxy.close();
    }

    /** Starts the shutdown, and waits until the drain has begun and has closed the connections that are idle. */
    private void shutDown(long acceptUntilMs, long openUntilMs, long endMs) throws Exception {
        GracefulShutdown.Schedule schedule = new GracefulShutdown.Schedule(0, acceptUntilMs, openUntilMs, endMs);
        proxy.onLoop(() -> new GracefulShutdown(proxy.loop, proxy.dataPath, schedule, () -> {
                    exits.incrementAndGet();
                    ended.countDown();
                })
                .start());
        proxy.awaitDueTasks();
        proxy.awaitDueTasks();
    }

    private boolean awaitEnd() throws InterruptedException {
        return ended.await(5, TimeUnit.SECONDS);
    }

    @Test
    void idleProcessEndsOnceTheOpenTimeIsOver() throws Exception {
        shutDown(0, 100, NEVER_MS);
        assertThat(awaitEnd()).isTrue();
    }

    @Test
    void connectionThatRestsIsClosedAndDoesNotDelayTheEnd() throws Exception {
        shutDown(400, 500, NEVER_MS);
        ProxyFixture.Client rested = proxy.client();
        assertThat(rested.isClosed()).isTrue();
        assertThat(awaitEnd()).isTrue();
    }

    @Test
    void requestInProgressDelaysTheEndUntilItIsAnswered() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        StubInstance instance = proxy.instance("a", (request, socket) -> {
            go.await();
            return StubInstance.sealed("done").respond(request, socket);
        });
        ProxyFixture.Client client = proxy.client();
        client.send("POST /n/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\n\r\n");
        instance.take();
        shutDown(0, 0, NEVER_MS);
        assertThat(ended.getCount()).isEqualTo(1);
        go.countDown();
        assertThat(client.read().body()).isEqualTo("done");
        assertThat(awaitEnd()).isTrue();
    }

    @Test
    void requestThatArrivesInPartIsRefusedBeforeTheEnd() throws Exception {
        shutDown(400, 500, 1_000);
        ProxyFixture.Client client = proxy.client();
        client.send("POST /n/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\nContent-Length: 4\r\n\r\nbo");
        ProxyFixture.Reply reply = client.read();
        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.header("X-Attempt-Id")).isEqualTo("1");
        assertThat(awaitEnd()).isTrue();
    }

    @Test
    void processEndsOnceAtTheEndOfItsTimeWhateverIsUnfinished() throws Exception {
        StubInstance instance = proxy.instance("a", (request, socket) -> {
            new CountDownLatch(1).await();
            return false;
        });
        ProxyFixture.Client client = proxy.client();
        client.send("POST /n/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\n\r\n");
        instance.take();
        shutDown(0, 0, 500);
        assertThat(awaitEnd()).isTrue();
        client.socket().close();
        proxy.awaitInFlight(0);
        proxy.onLoop(() -> {});
        assertThat(exits).hasValue(1);
    }
}

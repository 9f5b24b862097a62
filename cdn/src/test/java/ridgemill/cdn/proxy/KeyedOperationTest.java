package ridgemill.cdn.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that keyed operations run once. */
class KeyedOperationTest {

    private static final String KEY = "X-Operation-Key: k\r\n";

    private ProxyFixture proxy;

    @BeforeEach
    void start() throws Exception {
        proxy = new ProxyFixture();
    }

    @AfterEach
    void stop() throws Exception {
        proxy.close();
    }

    @Test
    void duplicateReceivesTheRecordedResponse() throws Exception {
        StubInstance instance = proxy.instance("a", StubInstance.sealed("done"));
        assertThat(proxy.request("POST", "/k/1", "1", KEY).body()).isEqualTo("done");
        ProxyFixture.Reply again = proxy.request("POST", "/k/1", "2", KEY);
        assertThat(again.body()).isEqualTo("done");
        assertThat(again.header("X-Response-Seal")).isEqualTo("s");
        assertThat(again.header("X-Attempt-Id")).isEqualTo("2");
        assertThat(instance.received).hasSize(1);
    }

    @Test
    void operationThatMayHaveRunStaysClaimed() throws Exception {
        StubInstance instance = proxy.instance("a", (request, socket) -> false);
        assertThat(proxy.request("POST", "/k/1", "1", KEY).status()).isEqualTo(502);
        ProxyFixture.Reply again = proxy.request("POST", "/k/1", "2", KEY);
        assertThat(again.status()).isEqualTo(409);
        assertThat(again.header("Retry-After")).isNotNull();
        assertThat(instance.received).hasSize(1);
        assertThat(proxy.register.calls).isEmpty();
    }

    @Test
    void claimOfAnOperationThatDidNotRunIsReleased() throws Exception {
        StubInstance instance = proxy.instance(
                "a",
                (request, socket) ->
                        StubInstance.write(socket, StubInstance.response(request, 429, "X-Not-Executed: 1\r\n", "")));
        assertThat(proxy.request("POST", "/k/1", "1", KEY).status()).isEqualTo(503);
        assertThat(proxy.register.calls.poll(5, TimeUnit.SECONDS)).isEqualTo("release");
        instance.script = StubInstance.sealed("done");
        assertThat(proxy.request("POST", "/k/1", "2", KEY).body()).isEqualTo("done");
    }

    @Test
    void duplicatesAtOneProxyWaitForTheLeaderWithoutClaims() throws Exception {
        proxy.setRoutes(ProxyFixture.route(ridgemill.cdn.config.RouteKind.KEYED_IDEMPOTENT, "/k/", 2, 8_000));
        CountDownLatch go = new CountDownLatch(1);
        StubInstance instance = proxy.instance("a", (request, socket) -> {
            go.await();
            return StubInstance.sealed("done").respond(request, socket);
        });
        ProxyFixture.Client[] clients = send(4);
        instance.take();
        go.countDown();
        for (int i = 0; i < clients.length; i++) {
            ProxyFixture.Reply reply = clients[i].read();
            assertThat(reply.body()).isEqualTo("done");
            assertThat(reply.header("X-Response-Seal")).isEqualTo("s");
            assertThat(reply.header("X-Attempt-Id")).isEqualTo("" + i);
        }
        assertThat(instance.received).isEmpty();
        assertThat(proxy.register.claims).hasSize(1);
    }

    @Test
    void duplicateWaitsForTheLeaderForALimitedTime() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        proxy.instance("a", (request, socket) -> {
            go.await();
            return StubInstance.sealed("done").respond(request, socket);
        });
        ProxyFixture.Client[] clients = send(2);
        assertThat(clients[1].read().status()).isEqualTo(409);
        go.countDown();
        assertThat(clients[0].read().body()).isEqualTo("done");
        assertThat(proxy.request("POST", "/k/1", "later", KEY).body()).isEqualTo("done");
    }

    @Test
    void duplicateThatStoppedWaitingDoesNotClaim() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        proxy.instance("a", (request, socket) -> {
            go.await();
            return false;
        });
        ProxyFixture.Client[] clients = send(2);
        assertThat(clients[1].read().status()).isEqualTo(409);
        go.countDown();
        assertThat(clients[0].read().status()).isEqualTo(502);
        proxy.awaitInFlight(0);
        assertThat(proxy.register.claims).hasSize(1);
    }

    @Test
    void nextDuplicateClaimsIfTheLeaderLeavesBeforeSending() throws Exception {
        proxy.setRoutes(ProxyFixture.route(ridgemill.cdn.config.RouteKind.KEYED_IDEMPOTENT, "/k/", 2, 8_000));
        StubInstance instance = proxy.instance("a", StubInstance.sealed("done"));
        proxy.register.deferring = true;
        ProxyFixture.Client[] clients = send(3);
        clients[0].socket().close();
        proxy.awaitInFlight(2);
        proxy.register.deferring = false;
        proxy.onLoop(proxy.register.deferred.remove());
        assertThat(clients[1].read().body()).isEqualTo("done");
        assertThat(clients[2].read().body()).isEqualTo("done");
        assertThat(instance.take().attemptId()).isEqualTo("1");
        assertThat(instance.received).isEmpty();
        assertThat(proxy.register.claims).hasSize(2);
    }

    /** Sends requests with the same key one after the other. */
    private ProxyFixture.Client[] send(int count) throws Exception {
        ProxyFixture.Client[] clients = new ProxyFixture.Client[count];
        for (int i = 0; i < count; i++) {
            clients[i] = proxy.client();
            clients[i].send("POST /k/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + i + "\r\n" + KEY + "\r\n");
            proxy.awaitInFlight(i + 1);
        }
        return clients;
    }

    @Test
    void operationIsRecordedAfterItsClientDisconnects() throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        StubInstance instance = proxy.instance("a", (request, socket) -> {
            left.await();
            return StubInstance.sealed("done").respond(request, socket);
        });
        ProxyFixture.Client client = proxy.client();
        client.send("POST /k/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\n" + KEY + "\r\n");
        instance.take();
        client.socket().close();
        left.countDown();
        assertThat(proxy.register.calls.poll(5, TimeUnit.SECONDS)).isEqualTo("finish");
        assertThat(proxy.request("POST", "/k/1", "2", KEY).body()).isEqualTo("done");
        assertThat(instance.received).isEmpty();
    }
}

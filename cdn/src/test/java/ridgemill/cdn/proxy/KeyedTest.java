package ridgemill.cdn.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Keyed operations run once. */
class KeyedTest {

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
    void aRepeatReceivesTheFirstOnesAnswer() throws Exception {
        StandInInstance instance = proxy.instance("a", StandInInstance.sealed("done"));
        assertThat(proxy.ask("POST", "/k/1", "1", KEY).body()).isEqualTo("done");
        ProxyFixture.Reply again = proxy.ask("POST", "/k/1", "2", KEY);
        assertThat(again.body()).isEqualTo("done");
        assertThat(again.header("X-Response-Seal")).isEqualTo("s");
        assertThat(again.header("X-Attempt-Id")).isEqualTo("2");
        assertThat(instance.received).hasSize(1);
    }

    @Test
    void whatMayHaveRunStaysClaimed() throws Exception {
        StandInInstance instance = proxy.instance("a", (request, socket) -> false);
        assertThat(proxy.ask("POST", "/k/1", "1", KEY).status()).isEqualTo(502);
        ProxyFixture.Reply again = proxy.ask("POST", "/k/1", "2", KEY);
        assertThat(again.status()).isEqualTo(409);
        assertThat(again.header("Retry-After")).isNotNull();
        assertThat(instance.received).hasSize(1);
        assertThat(proxy.register.calls).isEmpty();
    }

    @Test
    void whatCertainlyDidNotRunIsGivenBack() throws Exception {
        StandInInstance instance = proxy.instance(
                "a",
                (request, socket) -> StandInInstance.write(
                        socket, StandInInstance.answer(request, 429, "X-Not-Executed: 1\r\n", "")));
        assertThat(proxy.ask("POST", "/k/1", "1", KEY).status()).isEqualTo(503);
        assertThat(proxy.register.calls.poll(5, TimeUnit.SECONDS)).isEqualTo("release");
        instance.script = StandInInstance.sealed("done");
        assertThat(proxy.ask("POST", "/k/1", "2", KEY).body()).isEqualTo("done");
    }

    @Test
    void repeatsAtOneProxyWaitForTheFirstWithoutVotesOfTheirOwn() throws Exception {
        proxy.routes(ProxyFixture.route(ridgemill.cdn.config.RouteKind.KEYED_IDEMPOTENT, "/k/", 2, 8_000));
        CountDownLatch go = new CountDownLatch(1);
        StandInInstance instance = proxy.instance("a", (request, socket) -> {
            go.await();
            return StandInInstance.sealed("done").answer(request, socket);
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
    void aRepeatWaitsForTheFirstNoLongerThanForAnotherProxys() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        proxy.instance("a", (request, socket) -> {
            go.await();
            return StandInInstance.sealed("done").answer(request, socket);
        });
        ProxyFixture.Client[] clients = send(2);
        assertThat(clients[1].read().status()).isEqualTo(409);
        go.countDown();
        assertThat(clients[0].read().body()).isEqualTo("done");
        assertThat(proxy.ask("POST", "/k/1", "later", KEY).body()).isEqualTo("done");
    }

    @Test
    void aRepeatThatWaitsNoMoreClaimsNothing() throws Exception {
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
    void whereTheFirstLeavesUnsentTheNextClaims() throws Exception {
        proxy.routes(ProxyFixture.route(ridgemill.cdn.config.RouteKind.KEYED_IDEMPOTENT, "/k/", 2, 8_000));
        StandInInstance instance = proxy.instance("a", StandInInstance.sealed("done"));
        proxy.register.holding = true;
        ProxyFixture.Client[] clients = send(3);
        clients[0].socket().close();
        proxy.awaitInFlight(2);
        proxy.register.holding = false;
        proxy.onLoop(proxy.register.held.remove());
        assertThat(clients[1].read().body()).isEqualTo("done");
        assertThat(clients[2].read().body()).isEqualTo("done");
        assertThat(instance.take().id()).isEqualTo("1");
        assertThat(instance.received).isEmpty();
        assertThat(proxy.register.claims).hasSize(2);
    }

    /** Requests with one key that arrive one behind the other. */
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
    void anOperationWhoseClientLeftIsStillRecorded() throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        StandInInstance instance = proxy.instance("a", (request, socket) -> {
            left.await();
            return StandInInstance.sealed("done").answer(request, socket);
        });
        ProxyFixture.Client client = proxy.client();
        client.send("POST /k/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\n" + KEY + "\r\n");
        instance.take();
        client.socket().close();
        left.countDown();
        assertThat(proxy.register.calls.poll(5, TimeUnit.SECONDS)).isEqualTo("finish");
        assertThat(proxy.ask("POST", "/k/1", "2", KEY).body()).isEqualTo("done");
        assertThat(instance.received).isEmpty();
    }
}

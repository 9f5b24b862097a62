package ridgemill.cdn.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ridgemill.cdn.config.RouteKind;
import ridgemill.cdn.edge.AttemptOutcome;
import ridgemill.cdn.proxy.http.Headers;

/** Tests what can happen between the admission of a request and sending it. */
class RequestSendingTest {

    private static final String KEY = "X-Operation-Key: k\r\n";
    private static final int SLOTS_AND_QUEUE = 9;

    private ProxyFixture proxy;
    private final CountDownLatch unblocked = new CountDownLatch(1);
    private final StubInstance.Script blockingScript = (request, socket) -> {
        unblocked.await();
        return StubInstance.sealed("x").respond(request, socket);
    };

    @BeforeEach
    void start() throws Exception {
        proxy = new ProxyFixture();
        proxy.setRoutes(
                ProxyFixture.route(RouteKind.NON_IDEMPOTENT, "/n/", 2, 8_000),
                ProxyFixture.route(RouteKind.KEYED_IDEMPOTENT, "/k/", 2, 8_000));
    }

    @AfterEach
    void stop() throws Exception {
        unblocked.countDown();
        proxy.close();
    }

    private ProxyFixture.Client send(String target, String id, String extraHeaders) throws Exception {
        ProxyFixture.Client client = proxy.client();
        client.send("POST " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\n" + extraHeaders
                + "\r\n");
        return client;
    }

    private void grantDeferredClaim() throws Exception {
        Runnable claim = proxy.register.deferred.remove();
        proxy.onLoop(claim);
    }

    /** Occupies all slots and queue places of an instance and consumes its received requests. */
    private void fill(StubInstance instance) throws Exception {
        for (int i = 0; i < SLOTS_AND_QUEUE; i++) {
            send("/n/1", "full" + i, "");
            instance.take();
        }
    }

    @Test
    void claimGrantedAfterItsClientDisconnectedIsReleased() throws Exception {
        StubInstance instance = proxy.instance("a", StubInstance.sealed("done"));
        proxy.register.deferring = true;
        ProxyFixture.Client client = send("/k/1", "1", KEY);
        proxy.awaitInFlight(1);
        client.socket().close();
        proxy.awaitInFlight(0);
        grantDeferredClaim();
        assertThat(proxy.register.calls.poll(5, TimeUnit.SECONDS)).isEqualTo("release");
        proxy.register.deferring = false;
        assertThat(proxy.request("POST", "/k/1", "2", KEY).body()).isEqualTo("done");
        assertThat(instance.take().attemptId()).isEqualTo("2");
    }

    @Test
    void claimIsReleasedIfItsClientDisconnectsWhileWaitingForCapacity() throws Exception {
        StubInstance instance = proxy.instance("a", blockingScript);
        fill(instance);
        ProxyFixture.Client client = send("/k/1", "1", KEY);
        proxy.awaitInFlight(SLOTS_AND_QUEUE + 1);
        client.socket().close();
        assertThat(proxy.register.calls.poll(5, TimeUnit.SECONDS)).isEqualTo("release");
        unblocked.countDown();
        assertThat(proxy.request("POST", "/k/1", "2", KEY).body()).isEqualTo("x");
        assertThat(instance.take().attemptId()).isEqualTo("2");
    }

    @Test
    void nothingIsSentWhenAClaimIsGrantedAfterTheDeadline() throws Exception {
        StubInstance instance = proxy.instance("a", StubInstance.sealed("done"));
        proxy.register.deferring = true;
        ProxyFixture.Client client = send("/k/1", "1", KEY + "X-Deadline-Remaining: 1900\r\n");
        proxy.awaitInFlight(1);
        proxy.timers.advance(2_000);
        grantDeferredClaim();
        assertThat(client.read().status()).isEqualTo(503);
        assertThat(proxy.register.calls.poll(5, TimeUnit.SECONDS)).isEqualTo("release");
        assertThat(instance.received).isEmpty();
    }

    @Test
    void nothingIsSentWhenCapacityIsFreedAfterTheDeadline() throws Exception {
        StubInstance instance = proxy.instance("a", blockingScript);
        fill(instance);
        ProxyFixture.Client client = send("/n/1", "late", "X-Deadline-Remaining: 1900\r\n");
        proxy.awaitInFlight(SLOTS_AND_QUEUE + 1);
        proxy.timers.advance(2_000);
        unblocked.countDown();
        assertThat(client.read().status()).isEqualTo(503);
        proxy.awaitInFlight(0);
        assertThat(instance.received).isEmpty();
    }

    /**
     * Starts an attempt directly. {@code meanwhile} runs right after the start, before the connection is established.
     */
    private AttemptOutcome runAttempt(StubInstance instance, Runnable meanwhile) throws Exception {
        CompletableFuture<Attempt> endedAttempt = new CompletableFuture<>();
        proxy.onLoop(() -> {
            ProxyContext context = proxy.newContext();
            proxy.control.instances = List.of(instance.instance("s"));
            ServiceState service = context.service("s");
            proxy.control.listeners.add(new ridgemill.cdn.proxy.control.ControlListener() {
                @Override
                public void instancesChanged() {
                    service.refresh();
                }
            });
            OutgoingRequest request = new OutgoingRequest(
                    "POST", "/n/1", "1", new Headers().add("X-Attempt-Id", "1"), new byte[0], null, 1, 400);
            Attempt attempt = new Attempt(
                    context, service, service.picker().instances().get(0), request, false, endedAttempt::complete);
            attempt.start(proxy.timers.now() + 1_000, Double.POSITIVE_INFINITY);
            meanwhile.run();
        });
        Attempt attempt = endedAttempt.get(5, TimeUnit.SECONDS);
        assertThat(attempt.isSent()).isEqualTo(attempt.outcome() == AttemptOutcome.ANSWERED);
        assertThat(attempt.instance().inFlight()).isZero();
        return attempt.outcome();
    }

    /**
     * Guards against a fault found by the soak test: a process that resumed after a pause cancelled attempts whose
     * connections were being established, and then opened more connections than its share.
     */
    @Test
    void cancelledAttemptHoldsItsSlotUntilItsConnectionIsEstablished() throws Exception {
        StubInstance instance = proxy.instance("a", StubInstance.sealed("x"));
        proxy.onLoop(() -> proxy.control.instances = List.of(instance.instance("s")));
        CompletableFuture<ServiceState> created = new CompletableFuture<>();
        proxy.onLoop(() -> {
            ProxyContext context = proxy.newContext();
            ServiceState service = context.service("s");
            OutgoingRequest request = new OutgoingRequest(
                    "GET", "/i/1", "1", new Headers().add("X-Attempt-Id", "1"), new byte[0], null, 1, 400);
            Attempt attempt =
                    new Attempt(context, service, service.picker().instances().get(0), request, true, ended -> {});
            attempt.start(proxy.timers.now() + 1_000, Double.POSITIVE_INFINITY);
            attempt.cancel(false);
            assertThat(attempt.instance().inFlight())
                    .as("the connection is being established")
                    .isEqualTo(1);
            created.complete(service);
        });
        ServiceState service = created.get(5, TimeUnit.SECONDS);
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        int inFlight = 1;
        while (inFlight > 0 && System.nanoTime() < endNanos) {
            inFlight = proxy.loop
                    .submit(() -> service.picker().instances().get(0).inFlight())
                    .get();
        }
        assertThat(inFlight).isZero();
        assertThat(proxy.loop.submit(service::openConnections).get()).isEqualTo(1);
        assertThat(instance.received).isEmpty();
    }

    @Test
    void nothingIsSentOnAConnectionEstablishedAfterTheDeadline() throws Exception {
        StubInstance instance = proxy.instance("a", StubInstance.sealed("x"));
        assertThat(runAttempt(instance, () -> proxy.timers.advance(0))).isEqualTo(AttemptOutcome.ANSWERED);
        instance.take();
        assertThat(runAttempt(instance, () -> proxy.timers.advance(1_000))).isEqualTo(AttemptOutcome.NEVER_WRITTEN);
        assertThat(instance.received).isEmpty();
    }

    @Test
    void nothingIsSentOnAConnectionEstablishedAfterItsInstanceBeganToDrain() throws Exception {
        StubInstance instance = proxy.instance("a", StubInstance.sealed("x"));
        assertThat(runAttempt(instance, () -> {
                    proxy.control.instances = List.of();
                    proxy.control.listeners.forEach(l -> l.instancesChanged());
                }))
                .isEqualTo(AttemptOutcome.NEVER_WRITTEN);
        assertThat(instance.received).isEmpty();
    }

    @Test
    void requestWaitingForCapacityMovesToAnotherInstanceOnDrain() throws Exception {
        StubInstance draining = proxy.instance("a", blockingScript);
        fill(draining);
        ProxyFixture.Client client = send("/n/1", "waits", "");
        proxy.awaitInFlight(SLOTS_AND_QUEUE + 1);
        StubInstance other = proxy.instance("b", StubInstance.sealed("elsewhere"));
        proxy.setReadyInstances(other);
        unblocked.countDown();
        assertThat(client.read().body()).isEqualTo("elsewhere");
        assertThat(draining.received).isEmpty();
        proxy.setReadyInstances();
        assertThat(proxy.request("POST", "/n/1", "last", "").status()).isEqualTo(503);
        assertThat(draining.received).isEmpty();
        assertThat(other.received).hasSize(1);
    }

    @Test
    void misdirectedRequestIsRetriedElsewhere() throws Exception {
        AtomicInteger arrivals = new AtomicInteger();
        StubInstance.Script firstIsAnother = (request, socket) -> arrivals.getAndIncrement() == 0
                ? StubInstance.write(socket, StubInstance.response(request, 421, "", ""))
                : StubInstance.sealed("done").respond(request, socket);
        StubInstance one = proxy.instance("a", firstIsAnother);
        StubInstance other = proxy.instance("b", firstIsAnother);
        assertThat(proxy.request("POST", "/k/1", "1", KEY).body()).isEqualTo("done");
        assertThat(Set.of(one.take().header("X-Expected-Instance"), other.take().header("X-Expected-Instance")))
                .containsExactlyInAnyOrder("a", "b");
        assertThat(proxy.register.calls.poll(5, TimeUnit.SECONDS)).isEqualTo("finish");
    }

    @Test
    void claimIsReleasedIfEveryAddressIsMisdirected() throws Exception {
        proxy.instance(
                "a", (request, socket) -> StubInstance.write(socket, StubInstance.response(request, 421, "", "")));
        assertThat(proxy.request("POST", "/k/1", "1", KEY).status()).isEqualTo(503);
        assertThat(proxy.register.calls.poll(5, TimeUnit.SECONDS)).isEqualTo("release");
    }
}

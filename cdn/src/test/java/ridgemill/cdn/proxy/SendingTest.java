package ridgemill.cdn.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
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
import ridgemill.gateway.net.SocketKind;

/** What happens between a request's admission and its sending. */
class SendingTest {

    private static final String KEY = "X-Operation-Key: k\r\n";
    private static final int SLOTS_AND_QUEUE = 9;

    private ProxyFixture proxy;
    private final CountDownLatch end = new CountDownLatch(1);
    private final StandInInstance.Script waits = (request, socket) -> {
        end.await();
        return StandInInstance.sealed("x").answer(request, socket);
    };

    @BeforeEach
    void start() throws Exception {
        proxy = new ProxyFixture();
        proxy.routes(
                ProxyFixture.route(RouteKind.NON_IDEMPOTENT, "/n/", 2, 8_000),
                ProxyFixture.route(RouteKind.KEYED_IDEMPOTENT, "/k/", 2, 8_000));
    }

    @AfterEach
    void stop() throws Exception {
        end.countDown();
        proxy.close();
    }

    private ProxyFixture.Client send(String target, String id, String more) throws Exception {
        ProxyFixture.Client client = proxy.client();
        client.send("POST " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\n" + more + "\r\n");
        return client;
    }

    private void grantHeld() throws Exception {
        Runnable claim = proxy.register.held.remove();
        proxy.onLoop(claim);
    }

    /** Fills an instance and takes note of what filled it. */
    private void fill(StandInInstance instance) throws Exception {
        for (int i = 0; i < SLOTS_AND_QUEUE; i++) {
            send("/n/1", "full" + i, "");
            instance.take();
        }
    }

    @Test
    void aClaimThatIsGrantedAfterItsClientLeftIsReleased() throws Exception {
        StandInInstance instance = proxy.instance("a", StandInInstance.sealed("done"));
        proxy.register.holding = true;
        ProxyFixture.Client client = send("/k/1", "1", KEY);
        proxy.awaitInFlight(1);
        client.socket().close();
        proxy.awaitInFlight(0);
        grantHeld();
        assertThat(proxy.register.calls.poll(5, TimeUnit.SECONDS)).isEqualTo("release");
        proxy.register.holding = false;
        assertThat(proxy.ask("POST", "/k/1", "2", KEY).body()).isEqualTo("done");
        assertThat(instance.take().id()).isEqualTo("2");
    }

    @Test
    void aClaimWhoseClientLeavesWhileItWaitsForRoomIsReleased() throws Exception {
        StandInInstance instance = proxy.instance("a", waits);
        fill(instance);
        ProxyFixture.Client client = send("/k/1", "1", KEY);
        proxy.awaitInFlight(SLOTS_AND_QUEUE + 1);
        client.socket().close();
        assertThat(proxy.register.calls.poll(5, TimeUnit.SECONDS)).isEqualTo("release");
        end.countDown();
        assertThat(proxy.ask("POST", "/k/1", "2", KEY).body()).isEqualTo("x");
        assertThat(instance.take().id()).isEqualTo("2");
    }

    @Test
    void nothingIsSentWhenAClaimIsGrantedAfterTheDeadline() throws Exception {
        StandInInstance instance = proxy.instance("a", StandInInstance.sealed("done"));
        proxy.register.holding = true;
        ProxyFixture.Client client = send("/k/1", "1", KEY + "X-Deadline-Remaining: 1900\r\n");
        proxy.awaitInFlight(1);
        proxy.timers.jump(2_000);
        grantHeld();
        assertThat(client.read().status()).isEqualTo(503);
        assertThat(proxy.register.calls.poll(5, TimeUnit.SECONDS)).isEqualTo("release");
        assertThat(instance.received).isEmpty();
    }

    @Test
    void nothingIsSentWhenRoomComesAfterTheDeadline() throws Exception {
        StandInInstance instance = proxy.instance("a", waits);
        fill(instance);
        ProxyFixture.Client client = send("/n/1", "late", "X-Deadline-Remaining: 1900\r\n");
        proxy.awaitInFlight(SLOTS_AND_QUEUE + 1);
        proxy.timers.jump(2_000);
        end.countDown();
        assertThat(client.read().status()).isEqualTo(503);
        proxy.awaitInFlight(0);
        assertThat(instance.received).isEmpty();
    }

    /** An attempt of the proxy's own making; what is done with it right after its start comes before its connection. */
    private AttemptOutcome attempt(StandInInstance instance, Runnable meanwhile) throws Exception {
        CompletableFuture<Attempt> ended = new CompletableFuture<>();
        proxy.onLoop(() -> {
            ProxyContext context = new ProxyContext(
                    proxy.loop,
                    SocketKind.NIO,
                    proxy.timers,
                    proxy.settings,
                    proxy.control,
                    proxy.register,
                    proxy.meters,
                    Optional.empty(),
                    1_000);
            proxy.control.instances = List.of(instance.instance("s"));
            ServiceState service = context.service("s");
            proxy.control.listeners.add(new ridgemill.cdn.proxy.control.ControlListener() {
                @Override
                public void instancesChanged() {
                    service.refresh();
                }
            });
            OutgoingRequest request = new OutgoingRequest(
                    "POST", "/n/1", "1", new Headers().add("X-Attempt-Id", "1"), new byte[0], 1, 400);
            Attempt attempt =
                    new Attempt(context, service, service.picker().instances().get(0), request, false, ended::complete);
            attempt.start(proxy.timers.now() + 1_000, Double.POSITIVE_INFINITY);
            meanwhile.run();
        });
        Attempt attempt = ended.get(5, TimeUnit.SECONDS);
        assertThat(attempt.isSent()).isEqualTo(attempt.verdict() == AttemptOutcome.ANSWERED);
        assertThat(attempt.instance().inFlight()).isZero();
        return attempt.verdict();
    }

    /** Found by the soak: a process that went on after it stood still cancelled such attempts and opened more than its part. */
    @Test
    void anAttemptThatIsCancelledWhileItsConnectionComesUpHoldsItsPlaceUntilItIsThere() throws Exception {
        StandInInstance instance = proxy.instance("a", StandInInstance.sealed("x"));
        proxy.onLoop(() -> proxy.control.instances = List.of(instance.instance("s")));
        CompletableFuture<ServiceState> made = new CompletableFuture<>();
        proxy.onLoop(() -> {
            ProxyContext context = new ProxyContext(
                    proxy.loop,
                    SocketKind.NIO,
                    proxy.timers,
                    proxy.settings,
                    proxy.control,
                    proxy.register,
                    proxy.meters,
                    Optional.empty(),
                    1_000);
            ServiceState service = context.service("s");
            OutgoingRequest request = new OutgoingRequest(
                    "GET", "/i/1", "1", new Headers().add("X-Attempt-Id", "1"), new byte[0], 1, 400);
            Attempt attempt =
                    new Attempt(context, service, service.picker().instances().get(0), request, true, ended -> {});
            attempt.start(proxy.timers.now() + 1_000, Double.POSITIVE_INFINITY);
            attempt.cancel(false);
            assertThat(attempt.instance().inFlight())
                    .as("the connection is coming up")
                    .isEqualTo(1);
            made.complete(service);
        });
        ServiceState service = made.get(5, TimeUnit.SECONDS);
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        int held = 1;
        while (held > 0 && System.nanoTime() < endNanos) {
            held = proxy.loop
                    .submit(() -> service.picker().instances().get(0).inFlight())
                    .get();
        }
        assertThat(held).isZero();
        assertThat(proxy.loop.submit(service::openConnections).get()).isEqualTo(1);
        assertThat(instance.received).isEmpty();
    }

    @Test
    void nothingIsSentOnAConnectionThatComesUpAfterTheDeadline() throws Exception {
        StandInInstance instance = proxy.instance("a", StandInInstance.sealed("x"));
        assertThat(attempt(instance, () -> proxy.timers.jump(0))).isEqualTo(AttemptOutcome.ANSWERED);
        instance.take();
        assertThat(attempt(instance, () -> proxy.timers.jump(1_000))).isEqualTo(AttemptOutcome.NEVER_WRITTEN);
        assertThat(instance.received).isEmpty();
    }

    @Test
    void nothingIsSentOnAConnectionThatComesUpAfterItsInstanceBeganToLeave() throws Exception {
        StandInInstance instance = proxy.instance("a", StandInInstance.sealed("x"));
        assertThat(attempt(instance, () -> {
                    proxy.control.instances = List.of();
                    proxy.control.listeners.forEach(l -> l.instancesChanged());
                }))
                .isEqualTo(AttemptOutcome.NEVER_WRITTEN);
        assertThat(instance.received).isEmpty();
    }

    @Test
    void whoWaitsForRoomAtAnInstanceThatLeavesGoesElsewhere() throws Exception {
        StandInInstance leaving = proxy.instance("a", waits);
        fill(leaving);
        ProxyFixture.Client client = send("/n/1", "waits", "");
        proxy.awaitInFlight(SLOTS_AND_QUEUE + 1);
        StandInInstance other = proxy.instance("b", StandInInstance.sealed("elsewhere"));
        proxy.ready(other);
        end.countDown();
        assertThat(client.read().body()).isEqualTo("elsewhere");
        assertThat(leaving.received).isEmpty();
        proxy.ready();
        assertThat(proxy.ask("POST", "/n/1", "last", "").status()).isEqualTo(503);
        assertThat(leaving.received).isEmpty();
        assertThat(other.received).hasSize(1);
    }

    @Test
    void aRequestThatMetAnotherInstanceAtAnAddressHasNotRunAndGoesElsewhere() throws Exception {
        AtomicInteger arrivals = new AtomicInteger();
        StandInInstance.Script firstIsAnother = (request, socket) -> arrivals.getAndIncrement() == 0
                ? StandInInstance.write(socket, StandInInstance.answer(request, 421, "", ""))
                : StandInInstance.sealed("done").answer(request, socket);
        StandInInstance one = proxy.instance("a", firstIsAnother);
        StandInInstance other = proxy.instance("b", firstIsAnother);
        assertThat(proxy.ask("POST", "/k/1", "1", KEY).body()).isEqualTo("done");
        assertThat(Set.of(one.take().header("X-Expected-Instance"), other.take().header("X-Expected-Instance")))
                .containsExactlyInAnyOrder("a", "b");
        assertThat(proxy.register.calls.poll(5, TimeUnit.SECONDS)).isEqualTo("finish");
    }

    @Test
    void whereEveryAddressHasAnotherInstanceTheClaimIsReleased() throws Exception {
        proxy.instance(
                "a", (request, socket) -> StandInInstance.write(socket, StandInInstance.answer(request, 421, "", "")));
        assertThat(proxy.ask("POST", "/k/1", "1", KEY).status()).isEqualTo(503);
        assertThat(proxy.register.calls.poll(5, TimeUnit.SECONDS)).isEqualTo("release");
    }
}

package ridgemill.cdn.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ridgemill.cdn.edge.AttemptOutcome;
import ridgemill.gateway.back.IdleTimeoutEstimator;

/**
 * Guards against running a request twice: an instance that crashed while it read the body of a request may have begun
 * to run it, although the operating system had not accepted the whole request.
 */
class PartialWriteTest {

    private static final int REQUEST_BYTES = 64_000;

    private ProxyFixture proxy;

    @BeforeEach
    void start() throws Exception {
        proxy = new ProxyFixture();
    }

    @AfterEach
    void stop() throws Exception {
        proxy.close();
    }

    /** A connection whose operating system accepts a limited number of bytes. */
    private static final class LimitedChannel extends EmbeddedChannel {

        private int acceptableBytes;

        LimitedChannel(InstanceConnection connection, int acceptableBytes) {
            super(connection);
            this.acceptableBytes = acceptableBytes;
        }

        @Override
        protected void doWrite(ChannelOutboundBuffer output) {
            while (output.current() instanceof ByteBuf next && acceptableBytes > 0) {
                int accepted = Math.min(acceptableBytes, next.readableBytes());
                acceptableBytes -= accepted;
                output.removeBytes(accepted);
            }
        }
    }

    /** Sends a request on a connection that is lost after the given number of bytes was accepted. */
    private AttemptOutcome outcomeAfter(int acceptedBytes, StreamedBody body) throws Exception {
        CompletableFuture<AttemptOutcome> ended = new CompletableFuture<>();
        proxy.onLoop(() -> {
            InstanceConnection connection = new InstanceConnection(newPool());
            LimitedChannel channel = new LimitedChannel(connection, acceptedBytes);
            ByteBuf bytes = Unpooled.wrappedBuffer(new byte[body == null ? REQUEST_BYTES : REQUEST_BYTES / 100]);
            connection.send(bytes, body, "1", false, proxy.timers.now(), new ConnectionListener() {
                @Override
                public void responseBegun() {}

                @Override
                public void exchangeEnded(AttemptOutcome outcome, InstanceResponse response, String load) {
                    ended.complete(outcome);
                }
            });
            assertThat(ended).as("the connection is open").isNotDone();
            channel.close();
        });
        return ended.get(5, TimeUnit.SECONDS);
    }

    private ConnectionPool newPool() {
        ProxyContext context = proxy.newContext();
        StubInstance.Script unused = StubInstance.sealed("unused");
        try (StubInstance instance = new StubInstance("a", unused)) {
            return new ConnectionPool(
                    context,
                    instance.instance("s"),
                    new IdleTimeoutEstimator(),
                    context.meters().service("s"),
                    false);
        } catch (java.io.IOException failed) {
            throw new java.io.UncheckedIOException(failed);
        }
    }

    @ParameterizedTest
    @CsvSource({"1", "32000", "63999", "64000"})
    void requestOfWhichAnyByteWasAcceptedMayHaveRun(int acceptedBytes) throws Exception {
        assertThat(outcomeAfter(acceptedBytes, null)).isEqualTo(AttemptOutcome.RESET);
    }

    @Test
    void requestOfWhichNoByteWasAcceptedHasNotRun() throws Exception {
        assertThat(outcomeAfter(0, null)).isEqualTo(AttemptOutcome.NEVER_WRITTEN);
    }

    @ParameterizedTest
    @CsvSource({"0, NEVER_WRITTEN", "1, RESET", "639, RESET", "640, RESET", "641, RESET"})
    void streamedRequestOfWhichAnyByteWasAcceptedMayHaveRun(int acceptedBytes, AttemptOutcome expected)
            throws Exception {
        StreamedBody body = new StreamedBody(10_000_000, new StreamedBody.Source() {
            @Override
            public void resumeBody(StreamedBody resumed) {
                if (resumed.receivedBytes() == 0) {
                    resumed.bodyPiece(Unpooled.copiedBuffer("piece", StandardCharsets.US_ASCII));
                }
            }

            @Override
            public void pauseBody(StreamedBody paused) {}
        });
        assertThat(outcomeAfter(acceptedBytes, body)).isEqualTo(expected);
    }
}

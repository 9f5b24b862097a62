package ridgemill.cdn.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

class CallAdmissionTest {

    private static final int MB = 1_024 * 1_024;
    /** An eighth of the heap is for large bodies: 8 MB. */
    private static final long HEAP_BYTES = 64L * MB;

    private final CallMemory memory = new CallMemory(HEAP_BYTES);

    private EmbeddedChannel connection() {
        return new EmbeddedChannel(new CallAdmission(memory, 8 * MB));
    }

    private static HttpRequest call(int bodyBytes) {
        DefaultHttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.PATCH, "/");
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
        return request;
    }

    private static FullHttpResponse response(HttpResponseStatus status, int bodyBytes) {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(new byte[bodyBytes]));
    }

    private static HttpResponseStatus status(EmbeddedChannel connection) {
        FullHttpResponse response = connection.readOutbound();
        HttpResponseStatus status = response.status();
        response.release();
        return status;
    }

    @Test
    void aCallThatDoesNotFitIsRefusedAfterItsHeadAndTheConnectionClosedAfterItsBody() {
        EmbeddedChannel first = connection();
        EmbeddedChannel second = connection();
        assertThat(first.writeInbound(call(6 * MB))).isTrue();
        assertThat(second.writeInbound(call(6 * MB))).as("passed on").isFalse();
        assertThat(status(second)).isEqualTo(HttpResponseStatus.SERVICE_UNAVAILABLE);
        assertThat(second.isOpen()).isTrue();
        second.writeInbound(new DefaultLastHttpContent(Unpooled.wrappedBuffer(new byte[10])));
        assertThat(second.isOpen()).isFalse();
    }

    @Test
    void smallCallsAreAdmittedBesideLargeOnes() {
        assertThat(connection().writeInbound(call(8 * MB))).isTrue();
        assertThat(connection().writeInbound(call(300))).isTrue();
    }

    @Test
    void memoryIsGivenBackWithTheResponse() {
        EmbeddedChannel first = connection();
        for (int i = 0; i < 3; i++) {
            assertThat(first.writeInbound(call(6 * MB))).isTrue();
            first.writeOutbound(response(HttpResponseStatus.OK, 0));
            assertThat(status(first)).isEqualTo(HttpResponseStatus.OK);
        }
    }

    @Test
    void memoryIsGivenBackWhenTheCallerDisconnects() {
        EmbeddedChannel first = connection();
        assertThat(first.writeInbound(call(6 * MB))).isTrue();
        first.close();
        assertThat(connection().writeInbound(call(6 * MB))).isTrue();
    }

    @Test
    void continueDoesNotEndACall() {
        EmbeddedChannel first = connection();
        assertThat(first.writeInbound(call(6 * MB))).isTrue();
        first.writeOutbound(response(HttpResponseStatus.CONTINUE, 0));
        assertThat(connection().writeInbound(call(6 * MB))).isFalse();
    }

    /** Responses to slow callers count until they have been sent. */
    @Test
    void largeResponsesThatDoNotFitAreRefused() {
        EmbeddedChannel slow = connection();
        slow.writeInbound(call(0));
        slow.write(response(HttpResponseStatus.OK, 6 * MB));
        EmbeddedChannel other = connection();
        other.writeInbound(call(0));
        other.writeOutbound(response(HttpResponseStatus.OK, 6 * MB));
        assertThat(status(other)).isEqualTo(HttpResponseStatus.SERVICE_UNAVAILABLE);
        slow.flush();
        other.writeInbound(call(0));
        other.writeOutbound(response(HttpResponseStatus.OK, 6 * MB));
        assertThat(status(other)).isEqualTo(HttpResponseStatus.OK);
    }
}

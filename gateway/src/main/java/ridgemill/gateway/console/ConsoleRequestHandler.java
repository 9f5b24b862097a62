package ridgemill.gateway.console;

import com.google.gson.JsonObject;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.StrictHttp;
import ridgemill.gateway.net.Targets;
import ridgemill.monitoring.Readiness;

/** Handles one request of an operator: responds to the first complete request head, then closes the connection. */
final class ConsoleRequestHandler extends SimpleChannelInboundHandler<HttpObject> {

    static final String STATUS = "/status";
    static final String METRICS = "/status/metrics";
    private static final String TEXT_TYPE = "text/plain";
    private static final String JSON_TYPE = "application/json";
    /** Maximum lifetime of a connection; longer than any real caller needs to send its request. */
    private static final long MAX_CONNECTION_MS = 5000;
    /** How long further input is read after the response: closing with unread input would discard the response. */
    private static final long LINGER_MS = 1000;

    private final Console console;
    private boolean responded;

    private ConsoleRequestHandler(Console console) {
        this.console = console;
    }

    static void install(Channel channel, Console console) {
        channel.pipeline().addLast(new StrictHttp.Requests(), new HttpResponseEncoder(),
                new ConsoleRequestHandler(console));
        closeAfter(channel, MAX_CONNECTION_MS);
    }

    private static void closeAfter(Channel channel, long delayMs) {
        var timeout = channel.eventLoop().schedule(() -> {
            channel.close();
        }, delayMs, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(f -> timeout.cancel(false));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (responded || !(message instanceof HttpRequest request)) {
            return;
        }
        if (request.decoderResult().isFailure()) {
            boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
            respond(ctx, tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST,
                    TEXT_TYPE,
                    tooLong ? "the head is too long" : "this is no request");
            return;
        }
        String path = Targets.path(request.uri());
        if (!path.equals(STATUS) && !path.equals(METRICS)) {
            respond(ctx, HttpResponseStatus.NOT_FOUND, TEXT_TYPE, "there are " + STATUS + " and " + METRICS);
        } else if (!request.method().equals(HttpMethod.GET) && !request.method().equals(HttpMethod.HEAD)) {
            respond(ctx, HttpResponseStatus.METHOD_NOT_ALLOWED, TEXT_TYPE, "only GET is answered here");
        } else if (path.equals(METRICS)) {
            respond(ctx, HttpResponseStatus.OK, JSON_TYPE, MetricsJson.format(console.metrics()));
        } else {
            Readiness readiness = console.readiness();
            respond(ctx, readiness.serves() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    JSON_TYPE, statusJson(readiness));
        }
    }

    private static String statusJson(Readiness readiness) {
        JsonObject o = new JsonObject();
        o.addProperty("ready", readiness.serves());
        o.addProperty("state", readiness.description());
        return o.toString();
    }

    private void respond(ChannelHandlerContext ctx, HttpResponseStatus status, String mediaType, String line) {
        responded = true;
        ByteBuf body = ByteBufUtil.writeUtf8(ctx.alloc(), line + "\n");
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, mediaType)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (status.equals(HttpResponseStatus.METHOD_NOT_ALLOWED)) {
            response.headers().set(HttpHeaderNames.ALLOW, HttpMethod.GET + ", " + HttpMethod.HEAD);
        }
        ctx.writeAndFlush(response).addListener(f -> {
            if (ctx.channel() instanceof DuplexChannel duplex) {
                duplex.shutdownOutput();
            }
        });
        closeAfter(ctx.channel(), LINGER_MS);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            Log.error("a call at the console failed", cause);
        }
        ctx.close();
    }
}

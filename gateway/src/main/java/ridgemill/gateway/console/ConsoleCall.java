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

/** One call of an operator. The first head that is whole is answered, and the connection's end follows. */
final class ConsoleCall extends SimpleChannelInboundHandler<HttpObject> {

    static final String STATUS = "/status";
    static final String METRICS = "/status/metrics";
    private static final String TEXT = "text/plain";
    private static final String JSON = "application/json";
    /** How long a caller may stay in all: longer than any that means to say something. */
    private static final long STAYS_MS = 5000;
    /** How long what a caller still sends is read: closing on unread input would take the answer from it. */
    private static final long LINGER_MS = 1000;

    private final Console console;
    private boolean answered;

    private ConsoleCall(Console console) {
        this.console = console;
    }

    static void install(Channel channel, Console console) {
        channel.pipeline().addLast(new StrictHttp.Requests(), new HttpResponseEncoder(), new ConsoleCall(console));
        closeAfter(channel, STAYS_MS);
    }

    private static void closeAfter(Channel channel, long ms) {
        var time = channel.eventLoop().schedule(() -> {
            channel.close();
        }, ms, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(f -> time.cancel(false));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (answered || !(message instanceof HttpRequest request)) {
            return;
        }
        if (request.decoderResult().isFailure()) {
            boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
            answer(ctx, tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST, TEXT,
                    tooLong ? "the head is too long" : "this is no request");
            return;
        }
        String path = Targets.path(request.uri());
        if (!path.equals(STATUS) && !path.equals(METRICS)) {
            answer(ctx, HttpResponseStatus.NOT_FOUND, TEXT, "there are " + STATUS + " and " + METRICS);
        } else if (!request.method().equals(HttpMethod.GET) && !request.method().equals(HttpMethod.HEAD)) {
            answer(ctx, HttpResponseStatus.METHOD_NOT_ALLOWED, TEXT, "only GET is answered here");
        } else if (path.equals(METRICS)) {
            answer(ctx, HttpResponseStatus.OK, JSON, FigureText.json(console.figures()));
        } else {
            Readiness now = console.readiness();
            answer(ctx, now.serves() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, JSON, status(now));
        }
    }

    private static String status(Readiness now) {
        JsonObject o = new JsonObject();
        o.addProperty("ready", now.serves());
        o.addProperty("state", now.description());
        return o.toString();
    }

    private void answer(ChannelHandlerContext ctx, HttpResponseStatus status, String type, String line) {
        answered = true;
        ByteBuf body = ByteBufUtil.writeUtf8(ctx.alloc(), line + "\n");
        FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        answer.headers().set(HttpHeaderNames.CONTENT_TYPE, type).setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (status.equals(HttpResponseStatus.METHOD_NOT_ALLOWED)) {
            answer.headers().set(HttpHeaderNames.ALLOW, HttpMethod.GET + ", " + HttpMethod.HEAD);
        }
        ctx.writeAndFlush(answer).addListener(f -> {
            if (ctx.channel() instanceof DuplexChannel halves) {
                halves.shutdownOutput();
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

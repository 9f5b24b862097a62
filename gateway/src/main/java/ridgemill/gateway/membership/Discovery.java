package ridgemill.gateway.membership;

import com.google.gson.JsonParser;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.Transport;
import ridgemill.policy.Router.ListUpdateKind;

/**
 * The watch on the list of hosts. Where lists are pushed it is kept up from the start; where discovery is asked, each
 * call of {@link #subscribe} is one try, and the module decides on the next.
 */
public final class Discovery {

    /** Takes what discovery tells. */
    public interface Listener {

        /** The whole list, or what changed. */
        void hosts(ListUpdateKind kind, HostList list);

        /** A call failed, or the watch broke, where discovery is asked. */
        void refused();

        /** A sign of life. */
        void heard();
    }

    /** Three missed heartbeats: the other side has vanished without a word, and its news with it. */
    private static final int SILENCE_S = 7;
    private static final int MAX_LINE = 1 << 20;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final long FIRST_BACKOFF_MS = 50;
    private static final long LAST_BACKOFF_MS = 1000;

    private final EventLoop loop;
    private InetSocketAddress address;
    private final Listener listener;
    private final boolean pushed;
    private final Log log = new Log();
    private long version;
    private long backoffMs = FIRST_BACKOFF_MS;
    private Channel watch;

    /** {@code known} is the list as the proxy last had it, or null; {@code pushed} whether lists come unasked. */
    public Discovery(EventLoop loop, InetSocketAddress address, HostList known, boolean pushed, Listener listener) {
        this.loop = loop;
        this.address = address;
        this.pushed = pushed;
        this.listener = listener;
        this.version = known == null ? 0 : known.version();
    }

    /** Opens the watch where lists come unasked. */
    public void start() {
        if (pushed) {
            subscribe();
        }
    }

    /**
     * Goes on at another address, from nothing: what the old one numbered may mean something else there. The module
     * keeps its list until the new one has told its own; nothing more of the old watch is heard.
     */
    public void moveTo(InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        address = next;
        version = 0;
        backoffMs = FIRST_BACKOFF_MS;
        subscribe();
    }

    /** Opens the watch from the last version seen; an older watch of ours is dropped. */
    public void subscribe() {
        Channel old = watch;
        watch = null;
        if (old != null) {
            old.close();
        }
        ChannelFuture connecting = Transport.TCP.client(loop)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new ReadTimeoutHandler(SILENCE_S), new HttpClientCodec(),
                                new Body(), new LineBasedFrameDecoder(MAX_LINE), new Lines());
                    }
                }).connect(address);
        Channel opened = connecting.channel();
        watch = opened;
        opened.closeFuture().addListener(f -> ended(opened));
        connecting.addListener(f -> {
            if (f.isSuccess()) {
                var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                        "/discovery/hosts?watch=1&from=" + version);
                request.headers().set(HttpHeaderNames.HOST, "discovery.internal");
                opened.writeAndFlush(request);
            } else {
                opened.close();
            }
        });
    }

    private void ended(Channel channel) {
        if (watch != channel) {
            return;
        }
        watch = null;
        log.odd("no watch on discovery; the list stays as of version " + version);
        if (pushed) {
            loop.schedule(() -> {
                // A move has opened one meanwhile.
                if (watch == null) {
                    subscribe();
                }
            }, backoffMs, TimeUnit.MILLISECONDS);
            backoffMs = Math.min(LAST_BACKOFF_MS, 2 * backoffMs);
        } else {
            listener.refused();
        }
    }

    private void line(String line) {
        backoffMs = FIRST_BACKOFF_MS;
        if (!line.isBlank()) {
            try {
                HostList list = HostList.parse(JsonParser.parseString(line).getAsJsonObject());
                version = list.version();
                Log.info(list.summary());
                listener.hosts(list.whole() ? ListUpdateKind.FULL : ListUpdateKind.CHANGES, list);
            } catch (RuntimeException e) {
                log.odd("a line of discovery was dropped: " + e.getMessage());
            }
        }
        listener.heard();
    }

    /** Passes on what a good answer's body holds; any other answer ends the try. */
    private static final class Body extends MessageToMessageDecoder<HttpObject> {
        Body() {
            super(HttpObject.class);
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, HttpObject part, List<Object> out) {
            boolean refused = part instanceof HttpResponse head && !head.status().equals(HttpResponseStatus.OK);
            if (refused || part.decoderResult().isFailure()) {
                ctx.close();
            } else if (part instanceof HttpContent content) {
                out.add(content.content().retain());
            }
        }
    }

    private final class Lines extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            if (ctx.channel() == watch) {
                line(line.toString(StandardCharsets.UTF_8));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.odd("the watch on discovery broke: " + cause);
            ctx.close();
        }
    }
}

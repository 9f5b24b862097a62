package ridgemill.gateway.membership.eureka;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContentDecompressor;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import ridgemill.gateway.membership.eureka.EurekaPoll.Ask;
import ridgemill.gateway.membership.eureka.EurekaPoll.Kind;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.Transport;
import ridgemill.membership.Instance;

/**
 * Asks a registry over HTTP/1.1, one question at a time on one kept connection. Answers are read on a thread of their own,
 * as a long one would hold the loop up; what they say comes back to the loop, which alone knows the state.
 */
public final class EurekaClient {

    private static final int MOST_BYTES = 32 * 1024 * 1024;

    /** What becomes of what is read; called on the loop. */
    public interface Listener {

        /** All instances of an application that can be reached. */
        void told(String app, List<Instance> instances);

        /** The registry could not be read; what it said goes on holding. */
        void failed(String why);

        /** An answer came that was asked for so long ago; it says so of an application. */
        default void answered(String app, double tookMs, List<Instance> instances) {
            told(app, instances);
        }

        /** The same, where it says that an application is as it was told last. */
        default void unchanged(String app, double tookMs, Supplier<List<Instance>> instances) { }

        /** The registry is asked now. */
        default void asks() { }

        /** How long nothing need be asked, in milliseconds. */
        default double restMs() {
            return 0;
        }
    }

    /** Where a registry is. */
    record Base(InetSocketAddress address, String path) { }

    private final EventLoop loop;
    private final EurekaSettings settings;
    private final Listener listener;
    private final List<Base> bases = new ArrayList<>();
    private final Map<String, EurekaView> views = new HashMap<>();
    private final Map<String, String> etags = new HashMap<>();
    /** Instances that were left out, and why, by application; each is told of once. */
    private final Map<String, Map<String, String>> odd = new HashMap<>();
    private final EurekaPoll poll;
    private final Clock clock = new Clock();
    private final ExecutorService reading = thread("eureka-reader");
    private final NameBook names = new NameBook();
    private final NameLookup lookup;
    /** Apart from what reads answers, as a name server that does not answer holds it up for seconds; null until needed. */
    private ExecutorService lookingUp;
    private Channel channel;
    private int channelUrl = -1;
    private Asked out;
    private Future<?> next;
    private boolean closed;
    private String lastFailure = "";

    /** Asks as the settings say; {@code seed} decides by how much waits differ. */
    public EurekaClient(EventLoop loop, EurekaSettings settings, long seed, Listener listener) {
        this(loop, settings, seed, NameLookup.SYSTEM, listener);
    }

    EurekaClient(EventLoop loop, EurekaSettings settings, long seed, NameLookup lookup, Listener listener) {
        this.lookup = lookup;
        this.loop = loop;
        this.settings = settings;
        this.listener = listener;
        this.poll = new EurekaPoll(settings, seed);
        settings.urls().forEach(u -> bases.add(base(u)));
    }

    private static ExecutorService thread(String name) {
        return Executors.newSingleThreadExecutor(run -> {
            Thread thread = new Thread(run, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Checks a registry's address; throws with what is wrong with it. */
    public static void check(String url) {
        base(url);
    }

    static Base base(String url) {
        if (!url.startsWith("http://")) {
            throw new IllegalArgumentException("not an address that begins with http://: " + url);
        }
        String rest = url.substring("http://".length());
        int slash = rest.indexOf('/');
        String path = slash < 0 ? "" : rest.substring(slash);
        return new Base(Addresses.parse(slash < 0 ? rest : rest.substring(0, slash)),
                path.endsWith("/") ? path.substring(0, path.length() - 1) : path);
    }

    /** Begins to ask; to be called on the loop. */
    public void start() {
        ask();
    }

    /** Asks no more; to be called on the loop. */
    public void close() {
        closed = true;
        reading.shutdown();
        if (lookingUp != null) {
            lookingUp.shutdownNow();
        }
        if (out != null) {
            out.end();
        }
        if (channel != null) {
            channel.close();
        }
    }

    private void later(double ms) {
        if (!closed) {
            next = loop.schedule(this::ask, (long) (ms * 1e6), TimeUnit.NANOSECONDS);
        }
    }

    /** Asks as soon as it can, whatever was to be waited for; to be called on the loop. */
    public void askNow() {
        if (!closed && out == null && next != null && next.cancel(false)) {
            ask();
        }
    }

    private void ask() {
        if (closed) {
            return;
        }
        double rest = listener.restMs();
        if (rest > 0) {
            later(rest);
            return;
        }
        listener.asks();
        Asked asked = new Asked(poll.next());
        out = asked;
        asked.timeout = loop.schedule(() -> asked.fail("no answer within " + Math.round(settings.timeoutMs()) + " ms"),
                (long) (settings.timeoutMs() * 1e6), TimeUnit.NANOSECONDS);
        if (channel != null && channel.isActive() && channelUrl == asked.ask.url()) {
            asked.write();
            return;
        }
        channelUrl = asked.ask.url();
        ChannelFuture connecting = Transport.TCP.client(loop)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.max(1, (int) settings.timeoutMs()))
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new HttpClientCodec(), new HttpContentDecompressor(0), new HttpObjectAggregator(MOST_BYTES),
                                new Answers());
                    }
                }).connect(bases.get(asked.ask.url()).address());
        channel = connecting.channel();
        connecting.addListener(f -> {
            if (f.isSuccess()) {
                asked.write();
            } else {
                asked.fail(f.cause().getMessage());
            }
        });
    }

    private void tell(String app, EurekaView view, double tookMs) {
        listener.answered(app, tookMs, view.instances(app, names::address));
        report(app, view.odd());
        if (settings.resolve()) {
            names.want(clock.now(), app, view.names());
        }
    }

    /** Looks up the names that are due; the answers come back to the loop. */
    private void lookUp() {
        for (String name : names.due(clock.now())) {
            if (lookingUp == null) {
                lookingUp = thread("eureka-names");
            }
            lookingUp.execute(() -> {
                try {
                    List<String> addresses = lookup.addresses(name);
                    loop.execute(() -> lookedUp(names.found(clock.now(), name, addresses)));
                } catch (UnknownHostException e) {
                    loop.execute(() -> {
                        if (names.failed(clock.now(), name, "no address found")) {
                            Log.info("registry: host " + name + ": no address found"
                                    + (names.address(name) == null ? "" : ", it stays at " + names.address(name)));
                        }
                        lookedUp(false);
                    });
                }
            });
        }
    }

    private void lookedUp(boolean other) {
        if (closed) {
            return;
        }
        if (other) {
            for (String app : settings.apps()) {
                EurekaView view = views.get(settings.delta() ? "" : app);
                if (view != null) {
                    tell(app, view, 0);
                }
            }
        }
        lookUp();
    }

    private void report(String app, Map<String, String> now) {
        Map<String, String> before = odd.put(app, now);
        now.forEach((id, why) -> {
            if (before == null || !why.equals(before.get(id))) {
                Log.info("registry: instance " + id + " is left out: " + why);
            }
        });
    }

    /** One question on its way. */
    private final class Asked {
        private final Ask ask;
        private final double atMs = clock.now();
        private Future<?> timeout;
        private boolean over;

        Asked(Ask ask) {
            this.ask = ask;
        }

        private String tag() {
            return ask.url() + ask.path();
        }

        void write() {
            if (over) {
                return;
            }
            Base base = bases.get(ask.url());
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, base.path() + ask.path());
            request.headers().set(HttpHeaderNames.HOST, Addresses.text(base.address()))
                    .set(HttpHeaderNames.ACCEPT, "application/json").set(HttpHeaderNames.ACCEPT_ENCODING, "gzip");
            if (etags.containsKey(tag())) {
                request.headers().set(HttpHeaderNames.IF_NONE_MATCH, etags.get(tag()));
            }
            channel.writeAndFlush(request);
        }

        void end() {
            over = true;
            timeout.cancel(false);
            out = null;
        }

        void fail(String why) {
            if (over) {
                return;
            }
            end();
            if (channel != null) {
                // What is still to come would be taken for the next one's answer.
                channel.close();
                channel = null;
            }
            String text = settings.urls().get(ask.url()) + ask.path() + ": " + why;
            if (!text.equals(lastFailure)) {
                lastFailure = text;
                Log.info("registry: " + text);
            }
            listener.failed(text);
            later(poll.failed());
        }

        void answered(FullHttpResponse response) {
            int status = response.status().code();
            boolean keep = HttpUtil.isKeepAlive(response);
            if (status == 304 && etags.containsKey(tag())) {
                unchanged();
                done(true, keep);
                return;
            }
            if (status == 404 && ask.kind() == Kind.APP) {
                // A registry's word that it has no instance of this application.
                take(new EurekaAnswer(List.of(), "", ""), keep);
                return;
            }
            if (status != 200) {
                fail("status " + status);
                return;
            }
            String etag = response.headers().get(HttpHeaderNames.ETAG);
            String text = response.content().toString(StandardCharsets.UTF_8);
            reading.execute(() -> {
                try {
                    EurekaAnswer answer = EurekaReader.read(text);
                    loop.execute(() -> {
                        if (etag != null) {
                            etags.put(tag(), etag);
                        }
                        take(answer, keep);
                    });
                } catch (EurekaFormatException e) {
                    loop.execute(() -> fail(e.getMessage()));
                }
            });
        }

        private void unchanged() {
            EurekaView view = views.get(ask.kind() == Kind.APP ? ask.app() : "");
            if (!over && !closed && view != null) {
                for (String app : ask.kind() == Kind.APP ? List.of(ask.app()) : settings.apps()) {
                    listener.unchanged(app, clock.now() - atMs, () -> view.instances(app, names::address));
                }
            }
        }

        private void take(EurekaAnswer answer, boolean keep) {
            if (over || closed) {
                return;
            }
            boolean fits = true;
            EurekaView view = views.computeIfAbsent(ask.kind() == Kind.APP ? ask.app() : "", a -> new EurekaView());
            if (ask.kind() == Kind.DELTA) {
                fits = view.delta(answer);
            } else {
                view.full(answer);
            }
            lastFailure = "";
            for (String app : ask.kind() == Kind.APP ? List.of(ask.app()) : settings.apps()) {
                tell(app, view, clock.now() - atMs);
            }
            done(fits, keep);
        }

        private void done(boolean fits, boolean keep) {
            if (!over) {
                end();
                lookUp();
                if (!keep && channel != null) {
                    channel.close();
                    channel = null;
                }
                later(poll.answered(clock.now(), atMs, ask, fits));
            }
        }
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (out == null || ctx.channel() != channel) {
                ctx.close();
            } else if (response.decoderResult().isFailure()) {
                out.fail("a broken answer");
            } else {
                out.answered(response);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                channel = null;
                if (out != null) {
                    out.fail("the connection ended");
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (ctx.channel() == channel && out != null) {
                out.fail(String.valueOf(cause.getMessage()));
            }
            ctx.close();
        }
    }
}

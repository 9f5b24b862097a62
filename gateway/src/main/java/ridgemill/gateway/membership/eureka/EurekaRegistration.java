package ridgemill.gateway.membership.eureka;

import com.google.gson.JsonObject;
import io.netty.buffer.Unpooled;
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
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.IntConsumer;
import java.util.stream.Stream;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.Transport;

/**
 * Has the gateway itself in a registry, so that clients of Eureka find it: registers, renews its lease, registers anew when
 * the registry does not know it, says OUT_OF_SERVICE before it drains and cancels its lease at the end.
 */
public final class EurekaRegistration {

    /** How often a lease is renewed, as Eureka's own clients do, and after how long without it ends. */
    private static final int RENEW_S = 30;
    private static final int LEASE_S = 90;
    private static final long RETRY_MS = 1000;
    private static final int MOST_BYTES = 64 * 1024;
    private static final int NO_ANSWER = -1;
    private static final int NOT_FOUND = 404;
    private static final int GOOD = 2;
    private static final int CLASS = 100;

    /**
     * What is registered.
     *
     * @param app the application, in capitals
     * @param id the instance's own
     * @param address where clients reach it
     * @param zone empty for none
     */
    public record Self(String app, String id, InetSocketAddress address, String zone) { }

    private final EventLoop loop;
    private final EurekaSettings settings;
    private final Self self;
    private final long dirtyMs = System.currentTimeMillis();
    private int url;
    private boolean left;

    public EurekaRegistration(EventLoop loop, EurekaSettings settings, Self self) {
        this.loop = loop;
        this.settings = settings;
        this.self = self;
    }

    /** Registers, and goes on to renew; to be called on the loop. */
    public void start() {
        call(HttpMethod.POST, "/apps/" + self.app(), instance("UP"), status -> {
            if (status / CLASS == GOOD) {
                Log.info("registered as " + self.app() + "/" + self.id());
                later(TimeUnit.SECONDS.toMillis(RENEW_S), this::renew);
            } else {
                failed("not registered", status, this::start);
            }
        });
    }

    private void renew() {
        call(HttpMethod.PUT, path() + "?status=UP&lastDirtyTimestamp=" + dirtyMs, "", status -> {
            if (status == NOT_FOUND) {
                start();
            } else if (status / CLASS == GOOD) {
                later(TimeUnit.SECONDS.toMillis(RENEW_S), this::renew);
            } else {
                failed("lease not renewed", status, this::renew);
            }
        });
    }

    private void failed(String what, int status, Runnable again) {
        Log.info("registry " + settings.urls().get(url) + ": " + what + (status == NO_ANSWER ? ", no answer" : ", status " + status));
        url = (url + 1) % settings.urls().size();
        later(RETRY_MS, again);
    }

    private void later(long ms, Runnable then) {
        loop.schedule(() -> {
            if (!left) {
                then.run();
            }
        }, ms, TimeUnit.MILLISECONDS);
    }

    /** Says that no new clients are to come, and returns when the registry has it or the time-out is over; not on the loop. */
    public void outOfService() {
        await(HttpMethod.PUT, path() + "/status?value=OUT_OF_SERVICE&lastDirtyTimestamp=" + dirtyMs);
    }

    /** Cancels the lease, and returns when the registry has it or the time-out is over; not on the loop. */
    public void cancel() {
        await(HttpMethod.DELETE, path());
    }

    private void await(HttpMethod method, String path) {
        CompletableFuture<Integer> done = new CompletableFuture<>();
        loop.execute(() -> {
            left = true;
            call(method, path, "", done::complete);
        });
        try {
            done.get((long) settings.timeoutMs() * 2, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            Log.info("registry " + settings.urls().get(url) + ": no answer to " + method + " " + path);
        }
    }

    private String path() {
        return "/apps/" + self.app() + "/" + self.id();
    }

    private String instance(String status) {
        JsonObject i = new JsonObject();
        String host = self.address().getAddress().getHostAddress();
        i.addProperty("instanceId", self.id());
        i.addProperty("app", self.app());
        i.addProperty("hostName", host);
        i.addProperty("ipAddr", host);
        i.addProperty("vipAddress", self.app().toLowerCase(Locale.ROOT));
        i.addProperty("status", status);
        i.addProperty("overriddenstatus", "UNKNOWN");
        JsonObject port = new JsonObject();
        port.addProperty("$", self.address().getPort());
        port.addProperty("@enabled", "true");
        i.add("port", port);
        JsonObject centre = new JsonObject();
        centre.addProperty("@class", "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo");
        centre.addProperty("name", "MyOwn");
        i.add("dataCenterInfo", centre);
        JsonObject lease = new JsonObject();
        lease.addProperty("renewalIntervalInSecs", RENEW_S);
        lease.addProperty("durationInSecs", LEASE_S);
        i.add("leaseInfo", lease);
        JsonObject metadata = new JsonObject();
        metadata.addProperty("started-at", String.valueOf(dirtyMs));
        if (!self.zone().isEmpty()) {
            metadata.addProperty("zone", self.zone());
        }
        i.add("metadata", metadata);
        i.addProperty("lastUpdatedTimestamp", String.valueOf(dirtyMs));
        i.addProperty("lastDirtyTimestamp", String.valueOf(dirtyMs));
        JsonObject body = new JsonObject();
        body.add("instance", i);
        return body.toString();
    }

    /** One request on a connection of its own; {@code then} is told the status, on the loop, once. */
    private void call(HttpMethod method, String path, String body, IntConsumer then) {
        EurekaClient.Base base = EurekaClient.base(settings.urls().get(url));
        boolean[] told = new boolean[1];
        IntConsumer once = status -> {
            if (!told[0]) {
                told[0] = true;
                then.accept(status);
            }
        };
        ChannelFuture connecting = Transport.TCP.client(loop)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.max(1, (int) settings.timeoutMs()))
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST_BYTES),
                                new SimpleChannelInboundHandler<FullHttpResponse>() {
                                    @Override
                                    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
                                        once.accept(response.status().code());
                                        ctx.close();
                                    }

                                    @Override
                                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                                        ctx.close();
                                    }
                                });
                    }
                }).connect(base.address());
        Channel channel = connecting.channel();
        channel.closeFuture().addListener(f -> once.accept(NO_ANSWER));
        loop.schedule(() -> {
            channel.close();
        }, (long) settings.timeoutMs(), TimeUnit.MILLISECONDS);
        connecting.addListener(f -> {
            if (f.isSuccess()) {
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, base.path() + path,
                        Unpooled.wrappedBuffer(bytes));
                request.headers().set(HttpHeaderNames.HOST, Addresses.text(base.address())).set(HttpHeaderNames.CONNECTION, "close")
                        .set(HttpHeaderNames.ACCEPT, "application/json").setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
                if (bytes.length > 0) {
                    request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
                }
                channel.writeAndFlush(request);
            }
        });
    }

    /** For whoever checks a file: what of this can't stand in a registry's path. */
    public static List<String> oddities(Optional<String> app, Optional<String> id) {
        return Stream.of(app, id).flatMap(Optional::stream).filter(t -> !t.matches("[A-Za-z0-9._:-]{1,128}")).toList();
    }
}

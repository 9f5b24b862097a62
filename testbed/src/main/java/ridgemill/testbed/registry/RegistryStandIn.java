package ridgemill.testbed.registry;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContentCompressor;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import ridgemill.testbed.Reservation;

/**
 * A registry that answers as Eureka's does: applications, one application, vips, deltas with retention and a hash, and the
 * registrant's side (register, heartbeat, status, cancel). It fails as it is told, and notes when each change was
 * acknowledged. All of it runs on the testbed's loop.
 */
public final class RegistryStandIn implements AutoCloseable {

    /** What it does wrong with every answer. */
    public enum Fault {
        /** Nothing. */
        NONE,
        /** Never answers. */
        SILENT,
        /** Half of an answer, then the end of the connection. */
        HALF,
        /** 200 with an error page. */
        ERROR_PAGE,
        /** 500. */
        ERROR,
        /** As after a start without its peers: no instance at all. */
        EMPTY,
        /** Only the first third of the instances. */
        THIRD,
        /** What it had when {@link #snapshot} was called. */
        OLD,
        /** Deltas are lost: always none. */
        LOST_DELTAS
    }

    private record Change(double atMs, String key, JsonObject instance) {}

    private static final int MOST_BODY = 1 << 20;
    private static final double DELTA_RETENTION_MS = 180_000;

    private final EventLoop loop;
    private final Reservation port = new Reservation();
    private final Map<String, JsonObject> instances = new LinkedHashMap<>();
    private final Map<String, JsonObject> old = new LinkedHashMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();
    private final List<String> asked = new CopyOnWriteArrayList<>();
    private final AtomicLong requests = new AtomicLong();
    private Channel listener;
    private Fault fault = Fault.NONE;
    private double delayMs;
    private boolean xml;
    private boolean repeats;
    private long version;

    public RegistryStandIn(EventLoop loop) {
        this.loop = loop;
        up();
    }

    /** Where it is reached, as clients are configured with it. */
    public String url() {
        return "http://127.0.0.1:" + port.address().getPort() + "/eureka";
    }

    /** Requests that came so far. */
    public long requests() {
        return requests.get();
    }

    /** The first lines of the requests that came, in order. */
    public List<String> asked() {
        return List.copyOf(asked);
    }

    /** Plays a fault from now on. */
    public void fault(Fault f) {
        on(() -> fault = f);
    }

    /** Answers so much later from now on; what it says is as of when it was asked. */
    public void delay(double ms) {
        on(() -> delayMs = ms);
    }

    /** Answers in XML from now on, whatever is asked for. */
    public void xml(boolean on) {
        on(() -> xml = on);
    }

    /** Deltas hold everything twice and in reverse order from now on. */
    public void repeats(boolean on) {
        on(() -> repeats = on);
    }

    /** Remembers what it has now, for {@link Fault#OLD}. */
    public void snapshot() {
        on(() -> {
            old.clear();
            instances.forEach((k, i) -> old.put(k, i.deepCopy()));
            return null;
        });
    }

    /** Dies: refuses connections. */
    public void down() {
        on(() -> {
            listener.close();
            return null;
        });
    }

    /** Listens (again) at its address. */
    public void up() {
        listener = port.listen(new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        listener.closeFuture().addListener(f -> channel.close());
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpContentCompressor(),
                                        new HttpObjectAggregator(MOST_BODY),
                                        new Answers());
                    }
                }));
    }

    private <T> T on(Supplier<T> task) {
        return loop.inEventLoop()
                ? task.get()
                : loop.submit(task::get).syncUninterruptibly().getNow();
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    /**
     * An instance is there, with a record that it changed itself just now; returns when that was acknowledged, in
     * milliseconds of {@link System#nanoTime}.
     */
    public double put(String app, String id, InetSocketAddress address, String status, Map<String, String> metadata) {
        return on(() -> {
            JsonObject i = new JsonObject();
            i.addProperty("instanceId", id);
            i.addProperty("app", app);
            i.addProperty("hostName", address.getAddress().getHostAddress());
            i.addProperty("ipAddr", address.getAddress().getHostAddress());
            i.addProperty("status", status);
            i.addProperty("overriddenStatus", "UNKNOWN");
            i.addProperty("vipAddress", app.toLowerCase(Locale.ROOT) + ".vip");
            i.addProperty("secureVipAddress", app.toLowerCase(Locale.ROOT) + ".svip");
            JsonObject p = new JsonObject();
            p.addProperty("$", address.getPort());
            p.addProperty("@enabled", "true");
            i.add("port", p);
            JsonObject m = new JsonObject();
            metadata.forEach(m::addProperty);
            i.add("metadata", m);
            i.addProperty("lastDirtyTimestamp", String.valueOf(++version + 1_700_000_000_000L));
            return register(app.toUpperCase(Locale.ROOT), id, i);
        });
    }

    /** A record tells a host's name alone from now on, as of an instance that does not know its address. */
    public void named(String app, String id, String host) {
        on(() -> {
            JsonObject i = instances.get(app.toUpperCase(Locale.ROOT) + "/" + id);
            i.addProperty("hostName", host);
            i.addProperty("ipAddr", host);
            return note(app.toUpperCase(Locale.ROOT) + "/" + id, i, "MODIFIED");
        });
    }

    private double register(String app, String id, JsonObject i) {
        String key = app + "/" + id;
        boolean there = instances.containsKey(key);
        JsonObject lease = new JsonObject();
        long at = System.currentTimeMillis();
        lease.addProperty("registrationTimestamp", at);
        lease.addProperty("serviceUpTimestamp", at);
        i.add("leaseInfo", lease);
        instances.put(key, i);
        return note(key, i, there ? "MODIFIED" : "ADDED");
    }

    /** An operator sets a status, as {@code PUT .../status} does; returns when it was acknowledged. */
    public double override(String app, String id, String status) {
        return on(() -> {
            JsonObject i = instances.get(app.toUpperCase(Locale.ROOT) + "/" + id);
            i.addProperty("status", status);
            i.addProperty("overriddenStatus", status);
            i.addProperty("lastDirtyTimestamp", String.valueOf(++version + 1_700_000_000_000L));
            return note(app.toUpperCase(Locale.ROOT) + "/" + id, i, "MODIFIED");
        });
    }

    /** Writes another lastDirtyTimestamp into a record, as an instance whose clock is off does. */
    public void dirty(String app, String id, long ms) {
        on(() -> {
            JsonObject i = instances.get(app.toUpperCase(Locale.ROOT) + "/" + id);
            i.addProperty("lastDirtyTimestamp", String.valueOf(ms));
            return note(app.toUpperCase(Locale.ROOT) + "/" + id, i, "MODIFIED");
        });
    }

    /** An instance cancels its lease; returns when that was acknowledged. */
    public double remove(String app, String id) {
        return on(() -> {
            String key = app.toUpperCase(Locale.ROOT) + "/" + id;
            JsonObject i = instances.remove(key);
            return i == null ? now() : note(key, i, "DELETED");
        });
    }

    /** How many instances it has. */
    public int size() {
        return on(instances::size);
    }

    /** A record as it has it; null for none. */
    public JsonObject record(String app, String id) {
        return on(() -> instances.get(app.toUpperCase(Locale.ROOT) + "/" + id));
    }

    private double note(String key, JsonObject instance, String action) {
        JsonObject copy = instance.deepCopy();
        copy.addProperty("actionType", action);
        changes.addLast(new Change(now(), key, copy));
        while (changes.peekFirst().atMs() < now() - DELTA_RETENTION_MS) {
            changes.removeFirst();
        }
        version++;
        return now();
    }

    private Map<String, JsonObject> shown() {
        if (fault == Fault.EMPTY) {
            return Map.of();
        }
        if (fault == Fault.OLD) {
            return old;
        }
        if (fault == Fault.THIRD) {
            Map<String, JsonObject> third = new LinkedHashMap<>();
            instances.entrySet().stream().limit(instances.size() / 3).forEach(e -> third.put(e.getKey(), e.getValue()));
            return third;
        }
        return instances;
    }

    private static String hash(Map<String, JsonObject> of) {
        Map<String, Integer> counts = new TreeMap<>();
        of.values().forEach(i -> counts.merge(i.get("status").getAsString(), 1, Integer::sum));
        StringBuilder text = new StringBuilder();
        counts.forEach((s, n) -> text.append(s).append('_').append(n).append('_'));
        return text.toString();
    }

    private static JsonArray byApplication(Iterable<JsonObject> some) {
        Map<String, JsonArray> apps = new TreeMap<>();
        some.forEach(
                i -> apps.computeIfAbsent(i.get("app").getAsString().toUpperCase(Locale.ROOT), a -> new JsonArray())
                        .add(i));
        JsonArray all = new JsonArray();
        apps.forEach((name, list) -> {
            JsonObject app = new JsonObject();
            app.addProperty("name", name);
            app.add("instance", list);
            all.add(app);
        });
        return all;
    }

    private JsonObject applications(Iterable<JsonObject> some) {
        JsonObject in = new JsonObject();
        in.addProperty("versions__delta", String.valueOf(version));
        in.addProperty("apps__hashcode", hash(shown()));
        in.add("application", byApplication(some));
        JsonObject all = new JsonObject();
        all.add("applications", in);
        return all;
    }

    private JsonObject delta() {
        List<JsonObject> some = new ArrayList<>();
        if (fault != Fault.LOST_DELTAS) {
            changes.forEach(c -> some.add(c.instance()));
        }
        if (repeats) {
            List<JsonObject> twice = new ArrayList<>(some);
            java.util.Collections.reverse(twice);
            some.addAll(0, twice);
        }
        return applications(some);
    }

    /** Answers a read: the tree, or null where there is no such thing. */
    private JsonObject read(String[] path) {
        if (path.length >= 2 && path[0].equals("apps") && path[1].equals("delta")) {
            return delta();
        }
        if (path.length == 0 || !path[0].equals("apps") && !path[0].equals("vips") && !path[0].equals("svips")) {
            return null;
        }
        if (path.length == 1 && path[0].equals("apps")) {
            return applications(shown().values());
        }
        if (!path[0].equals("apps")) {
            String field = path[0].equals("vips") ? "vipAddress" : "secureVipAddress";
            return applications(shown().values().stream()
                    .filter(i -> i.has(field) && i.get(field).getAsString().equals(path[1]))
                    .toList());
        }
        List<JsonObject> of = shown().entrySet().stream()
                .filter(e -> e.getKey().startsWith(path[1].toUpperCase(Locale.ROOT) + "/"))
                .map(Map.Entry::getValue)
                .toList();
        if (of.isEmpty()) {
            return null;
        }
        JsonObject one = new JsonObject();
        if (path.length == 3) {
            of.stream()
                    .filter(i -> i.get("instanceId").getAsString().equals(path[2]))
                    .findFirst()
                    .ifPresent(i -> one.add("instance", i));
            return one.size() == 0 ? null : one;
        }
        one.add("application", byApplication(of).get(0));
        return one;
    }

    /** Carries out what a registrant asks for; its status. */
    private int write(HttpMethod method, String[] path, Map<String, List<String>> query, String body) {
        if (path.length < 2 || !path[0].equals("apps")) {
            return 404;
        }
        String app = path[1].toUpperCase(Locale.ROOT);
        if (method.equals(HttpMethod.POST) && path.length == 2) {
            try {
                JsonObject i = JsonParser.parseString(body).getAsJsonObject().getAsJsonObject("instance");
                String id = i.has("instanceId")
                        ? i.get("instanceId").getAsString()
                        : i.get("hostName").getAsString();
                register(app, id, i);
                return 204;
            } catch (JsonParseException | IllegalStateException | NullPointerException e) {
                return 400;
            }
        }
        String key = path.length < 3 ? "" : app + "/" + path[2];
        JsonObject i = instances.get(key);
        if (i == null) {
            return 404;
        }
        if (method.equals(HttpMethod.PUT) && path.length == 4 && path[3].equals("status")) {
            String status = query.getOrDefault("value", List.of("UNKNOWN")).get(0);
            i.addProperty("status", status);
            i.addProperty("overriddenStatus", status);
            note(key, i, "MODIFIED");
        } else if (method.equals(HttpMethod.DELETE) && path.length == 4) {
            i.addProperty("overriddenStatus", "UNKNOWN");
            i.addProperty(
                    "status", query.getOrDefault("value", List.of("UNKNOWN")).get(0));
            note(key, i, "MODIFIED");
        } else if (method.equals(HttpMethod.DELETE)) {
            instances.remove(key);
            note(key, i, "DELETED");
        } else if (query.containsKey("status")
                && !i.get("status").getAsString().equals(query.get("status").get(0))) {
            i.addProperty("status", query.get("status").get(0));
            note(key, i, "MODIFIED");
        }
        return 200;
    }

    /** The same tree in XML. */
    private static void xml(String name, JsonElement e, StringBuilder out) {
        if (e.isJsonArray()) {
            e.getAsJsonArray().forEach(i -> xml(name, i, out));
            return;
        }
        out.append('<').append(name);
        if (e.isJsonObject()) {
            JsonObject o = e.getAsJsonObject();
            o.entrySet().stream()
                    .filter(f -> f.getKey().startsWith("@"))
                    .forEach(f -> out.append(' ')
                            .append(f.getKey().substring(1))
                            .append("=\"")
                            .append(f.getValue().getAsString())
                            .append('"'));
            out.append('>');
            o.entrySet().stream().filter(f -> !f.getKey().startsWith("@")).forEach(f -> {
                if (f.getKey().equals("$")) {
                    out.append(f.getValue().getAsString());
                } else {
                    xml(f.getKey(), f.getValue(), out);
                }
            });
        } else {
            out.append('>').append(e.getAsString().replace("&", "&amp;").replace("<", "&lt;"));
        }
        out.append("</").append(name).append('>');
    }

    @Override
    public void close() {
        down();
        port.close();
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            requests.incrementAndGet();
            asked.add(request.method() + " " + request.uri());
            if (fault == Fault.SILENT) {
                return;
            }
            FullHttpResponse response = response(request);
            boolean half = fault == Fault.HALF;
            if (half) {
                // Not compressed, or its length would be made to fit.
                response.headers()
                        .setInt(
                                HttpHeaderNames.CONTENT_LENGTH,
                                response.content().readableBytes() + 100)
                        .set(HttpHeaderNames.CONTENT_ENCODING, "identity");
            }
            ctx.executor()
                    .schedule(
                            () -> ctx.writeAndFlush(response).addListener(f -> {
                                if (half) {
                                    ctx.close();
                                }
                            }),
                            (long) (delayMs * 1e6),
                            TimeUnit.NANOSECONDS);
        }

        private FullHttpResponse response(FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            String bare = uri.path()
                    .replaceFirst("^/eureka", "")
                    .replaceFirst("^(/v2)?/", "")
                    .replaceFirst("/$", "");
            String[] path = bare.isEmpty() ? new String[0] : bare.split("/");
            if (fault == Fault.ERROR) {
                return answer(500, "text/html", "<html>500</html>");
            }
            if (fault == Fault.ERROR_PAGE) {
                return answer(200, "text/html", "<html><body><h1>Bad gateway</h1></body></html>");
            }
            if (!request.method().equals(HttpMethod.GET)) {
                return answer(
                        write(
                                request.method(),
                                path,
                                uri.parameters(),
                                request.content().toString(StandardCharsets.UTF_8)),
                        "application/json",
                        "");
            }
            JsonObject tree = read(path);
            if (tree == null) {
                return answer(404, "application/json", "");
            }
            if (xml
                    || String.valueOf(request.headers().get(HttpHeaderNames.ACCEPT))
                            .contains("xml")) {
                StringBuilder text = new StringBuilder("<?xml version=\"1.0\" encoding=\"UTF-8\"?>");
                tree.entrySet().forEach(e -> xml(e.getKey(), e.getValue(), text));
                return answer(200, "application/xml", text.toString());
            }
            return answer(200, "application/json", tree.toString());
        }

        private FullHttpResponse answer(int status, String type, String body) {
            FullHttpResponse r = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
            r.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, type)
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, r.content().readableBytes());
            return r;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

package ridgemill.bench;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import ridgemill.gateway.Config;
import ridgemill.gateway.operator.Operated;
import ridgemill.policy.BalancingRouter;
import ridgemill.testbed.HttpText;

/** How closely an operator file's limits hold on the wire, and how a limit is shared among tenants that ask too much. */
public final class LimitAccuracy {

    private static final double SECONDS = 10;
    private static final long NODE_MS = 10;
    private static final String SETTINGS = """
            {"rank": 0, "balancers": 1, "zone": "a", "tick_ms": 5, "discovery": "automatic",
             "limits": {"cancelling": true, "connect_timeout_ms": 1000, "idle_close_ms": 60000, "max_open": 2000,
                        "max_retry_after_ms": 750, "retry_after": true, "try_limit": 3},
             "obligations": {"answer_slack_ms": 20},
             "services": [{"name": "read", "effect": "retryable", "objective_ms": 500, "deadline_ms": 1500}]}""";
    private static final String CLASS = "[classes.read]\neffect = \"safe\"\n";

    /** A tenant that asks on so many connections, each so often a second at most; 0 is as soon as it has its answer. */
    private record Tenant(String name, int connections, double perSecond) {}

    /** What a tenant asked for and had. */
    private record Had(String tenant, int asked, int served) {}

    private LimitAccuracy() {}

    public static void main(String[] args) throws Exception {
        System.out.printf(
                Locale.ROOT, "A rate, asked for 3 times over %.0f s; allowed is the rate's and one burst%n", SECONDS);
        System.out.printf("%8s %8s %8s %8s %10s%n", "rate/s", "asked", "allowed", "served", "served/allowed");
        for (double rate : new double[] {20, 50, 100}) {
            String file = CLASS + "[limits.tenant.a]\nrate = \"" + (int) rate + "/s\"\n";
            Had had = play(file, 0, List.of(new Tenant("a", 2, 1.5 * rate))).get(0);
            double allowed = rate * SECONDS + rate / 2;
            System.out.printf(
                    Locale.ROOT,
                    "%8.0f %8d %8.0f %8d %10.3f%n",
                    rate,
                    had.asked(),
                    allowed,
                    had.served(),
                    had.served() / allowed);
        }
        List<Tenant> uneven = List.of(
                new Tenant("a", 1, 20),
                new Tenant("b", 2, 60),
                new Tenant("c", 2, 60),
                new Tenant("d", 2, 85),
                new Tenant("e", 2, 85));
        shares(
                "40/s for each tenant, 600/s asked by five",
                CLASS + "[limits.unknown-tenant]\nrate = \"40/s\"\n",
                0,
                uneven);
        List<Tenant> closed =
                List.of(new Tenant("a", 4, 0), new Tenant("b", 4, 0), new Tenant("c", 16, 0), new Tenant("d", 24, 0));
        shares("4 in flight, none in line, 48 clients", CLASS + "[limits]\nin-flight = 4\n", NODE_MS, closed);
        shares(
                "4 in flight, 64 in line, 48 clients",
                CLASS + "[limits]\nin-flight = 4\n[limits.queue]\nplaces = 64\n" + "wait = \"400ms\"\n",
                NODE_MS,
                closed);
        shares(
                "4 in flight, 12 in line, 48 clients",
                CLASS + "[limits]\nin-flight = 4\n[limits.queue]\nplaces = 12\n" + "wait = \"400ms\"\n",
                NODE_MS,
                closed);
    }

    private static void shares(String title, String file, long nodeMs, List<Tenant> tenants) throws Exception {
        List<Had> all = play(file, nodeMs, tenants);
        System.out.println(title);
        double sum = 0;
        double squares = 0;
        for (Had h : all) {
            System.out.printf(Locale.ROOT, "%8s asked %6d, served %5d%n", h.tenant(), h.asked(), h.served());
            sum += h.served();
            squares += (double) h.served() * h.served();
        }
        System.out.printf(Locale.ROOT, "%8s %.3f%n", "Jain", sum * sum / (all.size() * squares));
    }

    private static List<Had> play(String text, long nodeMs, List<Tenant> tenants) throws Exception {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Path file = Files.createTempFile("limits", ".toml");
        Operated operated = null;
        try {
            InetSocketAddress node = new FlatNode(loops.next(), nodeMs).address();
            Files.writeString(file, text);
            Config config = Config.parse(
                    "{\"name\":\"p0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\","
                            + "\"limits\":{\"sockets\":512},\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"c0\",\"dial\":"
                            + "\"127.0.0.1:" + node.getPort() + "\",\"health\":\"up\"}]},\"settings\":" + SETTINGS
                            + "}",
                    Map.of());
            operated = Operated.start(config, file.toString(), new BalancingRouter(config.settings(), 1));
            // A play of its own before the one that counts: the code is cold at first, and slow clients ask too little.
            ask(operated.service().listenAddress(), List.of(new Tenant("warm-up", 2, 50)), 2);
            return ask(operated.service().listenAddress(), tenants, SECONDS);
        } finally {
            if (operated != null) {
                operated.service().kill();
            }
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
            Files.delete(file);
        }
    }

    private static List<Had> ask(InetSocketAddress proxy, List<Tenant> tenants, double seconds) throws Exception {
        List<Thread> threads = new ArrayList<>();
        List<AtomicInteger> asked = new ArrayList<>();
        List<AtomicInteger> served = new ArrayList<>();
        long begin = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(100);
        for (Tenant t : tenants) {
            AtomicInteger a = new AtomicInteger();
            AtomicInteger s = new AtomicInteger();
            asked.add(a);
            served.add(s);
            for (int c = 0; c < t.connections(); c++) {
                int connection = c;
                Thread thread = new Thread(() -> client(proxy, t, connection, begin, seconds, a, s));
                threads.add(thread);
                thread.start();
            }
        }
        for (Thread thread : threads) {
            thread.join();
        }
        List<Had> had = new ArrayList<>();
        for (int i = 0; i < tenants.size(); i++) {
            had.add(new Had(
                    tenants.get(i).name(), asked.get(i).get(), served.get(i).get()));
        }
        return had;
    }

    private static void client(
            InetSocketAddress proxy,
            Tenant tenant,
            int connection,
            long begin,
            double seconds,
            AtomicInteger asked,
            AtomicInteger served) {
        long end = begin + (long) (seconds * 1e9);
        double every = tenant.perSecond() == 0 ? 0 : 1e9 / tenant.perSecond();
        try {
            Socket socket = new Socket(proxy.getAddress(), proxy.getPort());
            socket.setTcpNoDelay(true);
            for (long n = 0; ; n++) {
                long due = begin + (long) (n * every);
                while (System.nanoTime() < due) {
                    LockSupport.parkNanos(due - System.nanoTime());
                }
                if (System.nanoTime() >= end) {
                    break;
                }
                asked.incrementAndGet();
                socket.getOutputStream()
                        .write(("GET /api/k" + n % 100 + " HTTP/1.1\r\nHost: s\r\nX-Call-Id: " + tenant.name()
                                        + "-" + connection + "-" + begin % 1000 + "-" + n
                                        + "\r\nX-Call-Class: read\r\nX-Caller: "
                                        + tenant.name() + "\r\nX-Budget: 1.5\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                String head = HttpText.read(socket.getInputStream());
                if (head == null) {
                    throw new IOException("closed");
                }
                served.addAndGet(head.startsWith("HTTP/1.1 200") ? 1 : 0);
                if (head.startsWith("HTTP/1.1 429")) {
                    // Refused at once: without a rest the busiest would do nothing else.
                    LockSupport.parkNanos(every == 0 ? TimeUnit.MILLISECONDS.toNanos(NODE_MS) : 0);
                }
                if (head.toLowerCase(Locale.ROOT).contains("connection: close")) {
                    socket.close();
                    socket = new Socket(proxy.getAddress(), proxy.getPort());
                    socket.setTcpNoDelay(true);
                }
            }
            socket.close();
        } catch (IOException e) {
            System.err.println(tenant.name() + ": " + e.getMessage());
        }
    }
}

package ridgemill.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import jdk.jfr.consumer.RecordedEvent;
import jdk.jfr.consumer.RecordedFrame;
import jdk.jfr.consumer.RecordedStackTrace;
import jdk.jfr.consumer.RecordingFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import ridgemill.testbed.discovery.DiscoveryStandIn;
import ridgemill.testbed.ledger.Ledger;

/**
 * Where a request's processor time goes: the proxy as a deployment runs it, on one core and under full load, with the Java
 * machine's own flight recorder beside it. Each sample counts for the first of a few owners that is met from the top of its
 * stack, so that what a map or a string costs is told of whoever uses it; a second table names the tops themselves. The
 * recorder samples threads in turn at safe and unsafe points alike, but only where it can walk the stack: shares are good to
 * some points, and what the kernel does for a call counts as that call.
 */
@Command(
        name = "profile",
        mixinStandardHelpOptions = true,
        description = "Samples the proxy under full load and tells by owner " + "where its time goes.")
public final class Profile extends CoreMeasurement {

    private static final int NODES = 6;
    private static final int TOPS = 25;

    /** Owners by the beginning of a class's name, the first that fits; a frame that fits none belongs to its caller. */
    private static final Map<String, String> OWNERS = new LinkedHashMap<>();

    static {
        OWNERS.put("io.netty.channel.epoll.Native", "waiting for sockets (epoll)");
        OWNERS.put("io.netty.channel.unix", "reads and writes of sockets");
        OWNERS.put("sun.nio.ch.EPoll", "waiting for sockets (epoll)");
        OWNERS.put("sun.nio.ch.SocketDispatcher", "reads and writes of sockets");
        OWNERS.put("sun.nio.ch.IOUtil", "reads and writes of sockets");
        OWNERS.put("sun.nio.ch.NativeThread", "reads and writes of sockets");
        OWNERS.put("sun.nio.ch.SocketChannelImpl", "reads and writes of sockets");
        OWNERS.put("sun.nio.ch.FileDispatcherImpl", "reads and writes of sockets");
        OWNERS.put("sun.nio.ch", "waiting for sockets (epoll)");
        OWNERS.put("ridgemill.policy", "decisions (BalancingRouter)");
        OWNERS.put("ridgemill.core", "dispatcher, intake, gate");
        OWNERS.put("ridgemill.gateway.front", "front");
        OWNERS.put("ridgemill.gateway.back", "back");
        OWNERS.put("ridgemill.", "other of ours");
        OWNERS.put("io.netty.handler.codec.http", "HTTP codec");
        OWNERS.put("io.netty.handler", "HTTP codec");
        OWNERS.put("io.netty.util.concurrent.AbstractScheduledEventExecutor", "timers");
        OWNERS.put("io.netty.util.concurrent.ScheduledFutureTask", "timers");
        OWNERS.put("io.netty.util.internal.DefaultPriorityQueue", "timers");
        OWNERS.put("io.netty.buffer", "buffers");
        OWNERS.put("io.netty", "Netty's channels and pipelines");
    }

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "20",
            description = "How long is sampled (default: ${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--warm-up",
            paramLabel = "N",
            defaultValue = "8",
            description = "Seconds under full load before that (default: ${DEFAULT-VALUE}).")
    private int warmUp;

    @Option(
            names = "--options",
            paramLabel = "FILE",
            description = "Options of the Java machine in place of the run line's, as " + "deploy/jvm/large.options.")
    private Path options;

    public static void main(String[] args) {
        main(new Profile(), args);
    }

    @Override
    void measure(Path directory) throws Exception {
        Path recording = directory.resolve("run.jfr");
        List<InetSocketAddress> nodes = nodes(NODES, () -> new FlatNode(nodeLoop).address());
        Pressure.Result full;
        double cpu;
        try (DiscoveryStandIn discovery = new DiscoveryStandIn(otherLoop, new Ledger(), "bench");
                Subject proxy = proxy(
                        discovery,
                        nodes,
                        directory,
                        List.of("JAVA_TOOL_OPTIONS=-XX:StartFlightRecording:settings=profile,delay=" + (warmUp + 6)
                                + "s,duration=" + Math.max(2, seconds - 4) + "s,filename=" + recording))) {
            Pressure.run(clientLoop, proxy.address(), CONNECTIONS, 0, warmUp);
            double before = proxy.cpuMicros();
            full = Pressure.run(clientLoop, proxy.address(), CONNECTIONS, 0, seconds);
            cpu = (proxy.cpuMicros() - before) / Math.max(1, full.answered());
        }
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!Files.exists(recording) && System.nanoTime() < end) {
            Thread.sleep(50);
        }
        System.out.printf(
                Locale.ROOT,
                "%.0f requests/s, %.1f us of CPU a request (all threads, the recorder's included), %d failed%n",
                full.perSecond(),
                cpu,
                full.failed());
        tell(recording, cpu, full.perSecond() * Math.max(2, seconds - 4));
    }

    private Subject proxy(
            DiscoveryStandIn discovery, List<InetSocketAddress> nodes, Path directory, List<String> environment)
            throws IOException, InterruptedException {
        return options == null
                ? ridgemill(discovery, nodes, directory, environment)
                : ridgemill(discovery, nodes, directory, environment, options);
    }

    private static void tell(Path recording, double cpuMicros, double requests) throws IOException {
        double allocated = 0;
        Map<String, Integer> owners = new TreeMap<>();
        Map<String, Integer> tops = new TreeMap<>();
        int all = 0;
        for (RecordedEvent e : RecordingFile.readAllEvents(recording)) {
            String kind = e.getEventType().getName();
            if (kind.equals("jdk.ObjectAllocationSample")) {
                // Each sample stands for all that was allocated since the one before it.
                allocated += e.getLong("weight");
            }
            RecordedStackTrace stack = e.getStackTrace();
            if (!kind.equals("jdk.ExecutionSample") && !kind.equals("jdk.NativeMethodSample") || stack == null) {
                continue;
            }
            List<RecordedFrame> frames = stack.getFrames();
            if (frames.stream()
                    .noneMatch(f -> name(f).startsWith("io.netty.channel.nio.NioIoHandler")
                            || name(f).startsWith("io.netty.channel.epoll.EpollIoHandler"))) {
                continue;
            }
            String owner = owner(frames);
            // One that waits in epoll uses no processor, and is sampled all the same.
            if (owner.startsWith("waiting")
                    && frames.get(0)
                            .getMethod()
                            .getName()
                            .toLowerCase(Locale.ROOT)
                            .contains("wait")) {
                owner = "idle or in epoll_wait";
            }
            all++;
            owners.merge(owner, 1, Integer::sum);
            tops.merge(name(frames.get(0)) + "." + frames.get(0).getMethod().getName(), 1, Integer::sum);
        }
        System.out.printf(
                Locale.ROOT, "%.0f bytes of heap a request, by the recorder's samples%n", allocated / requests);
        int total = Math.max(1, all);
        System.out.printf(
                Locale.ROOT, "%d samples of the loop%n%-36s %8s %12s%n", all, "owner", "share", "us a request");
        print(owners, total, cpuMicros, Integer.MAX_VALUE);
        System.out.printf(Locale.ROOT, "%ntops of stacks%n");
        print(tops, total, cpuMicros, TOPS);
    }

    private static void print(Map<String, Integer> counts, int total, double cpuMicros, int most) {
        counts.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue(Comparator.reverseOrder()))
                .limit(most)
                .forEach(e -> System.out.printf(
                        Locale.ROOT,
                        "%-90s %7.1f%% %9.1f%n",
                        e.getKey(),
                        100.0 * e.getValue() / total,
                        cpuMicros * e.getValue() / total));
    }

    private static String name(RecordedFrame f) {
        return f.getMethod().getType().getName();
    }

    private static String owner(List<RecordedFrame> frames) {
        for (RecordedFrame f : frames) {
            for (Map.Entry<String, String> o : OWNERS.entrySet()) {
                if (name(f).startsWith(o.getKey())) {
                    return o.getValue();
                }
            }
        }
        return "the Java machine";
    }
}

package ridgemill.bench.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Makes what the control plane has to bear: heartbeats, changes, purges, keys, instances that come and leave. */
final class Load implements AutoCloseable {

    private static final int OK = 200;
    private static final long HEARTBEAT_MS = 1_500;
    private static final int FIRST_INSTANCE_PORT = 30_000;
    private static final int STATE_PORT = 40_000;
    private static final int LOGGED_FAILURES = 20;

    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1, task -> {
        Thread thread = new Thread(task, "load");
        thread.setDaemon(true);
        return thread;
    });
    private final ControlCaller caller;
    private final HollowFleet fleet;
    private final Meter meter;
    private final Stopwatch keys = new Stopwatch();
    private final Stopwatch states = new Stopwatch();
    private final AtomicLong number = new AtomicLong();
    private final AtomicLong changesMade = new AtomicLong();
    private final AtomicLong failures = new AtomicLong();
    private final List<Future<?>> running = new ArrayList<>();
    private final List<Future<?>> heartbeats = new ArrayList<>();

    Load(ControlCaller caller, HollowFleet fleet, Meter meter) {
        this.caller = caller;
        this.fleet = fleet;
        this.meter = meter;
    }

    Stopwatch keys() {
        return keys;
    }

    Stopwatch states() {
        return states;
    }

    /** How many calls were not answered with success; none should be. */
    long failures() {
        return failures.get();
    }

    /** Adds instances that send heartbeats until there are so many. */
    void instances(int count) {
        while (heartbeats.size() < count) {
            int own = heartbeats.size();
            AtomicLong sequence = new AtomicLong();
            long firstMs = HEARTBEAT_MS * (own % 10) / 10;
            heartbeats.add(timer.scheduleAtFixedRate(
                    () -> counted(
                            "PUT",
                            "/ridgemill/instances/i-" + own,
                            heartbeat(FIRST_INSTANCE_PORT + own, sequence.incrementAndGet())),
                    firstMs,
                    HEARTBEAT_MS,
                    TimeUnit.MILLISECONDS));
        }
    }

    /** Starts one load at a rate; it goes on until {@link #rest}. */
    void start(Knob knob, double perS) {
        Runnable once = switch (knob) {
            case CHANGES -> this::change;
            case PURGES -> this::purge;
            case KEYS -> this::key;
            case STATES -> this::state;
        };
        if (perS > 0) {
            long periodMicros = (long) (TimeUnit.SECONDS.toMicros(1) / perS);
            running.add(timer.scheduleAtFixedRate(once, 0, periodMicros, TimeUnit.MICROSECONDS));
        }
    }

    /** What can be turned up by a rate. */
    enum Knob {
        CHANGES,
        PURGES,
        KEYS,
        STATES
    }

    /** Ends all but the heartbeats. */
    void rest() {
        running.forEach(load -> load.cancel(false));
        running.clear();
    }

    /** Forgets the times that were taken. */
    void resetTimes() {
        meter.changes().reset();
        meter.purges().reset();
        keys.reset();
        states.reset();
    }

    private int acknowledgements() {
        return fleet.size() * Deployment.SEEDS.size();
    }

    static String changeName(String item, long version) {
        return item + "#" + version;
    }

    private void change() {
        long version = 1 + changesMade.incrementAndGet();
        meter.changes().started(changeName("r-0", version), acknowledgements());
        counted("PATCH", "/ridgemill/configuration", Routes.change(0, 1, version));
    }

    private void purge() {
        String path = "/objects/" + number.incrementAndGet();
        meter.purges().started(path, acknowledgements());
        counted("POST", "/ridgemill/purges", "{\"hostname\":\"a.example\",\"path\":\"" + path + "\"}");
    }

    private void key() {
        long own = number.incrementAndGet();
        fleet.proxy(own).claimAndFinish("a.example/k-" + own, keys);
    }

    /** An instance comes and leaves at once; each is a change of state that edge proxies have to acknowledge. */
    private void state() {
        String id = "s-" + number.incrementAndGet();
        String path = "/ridgemill/instances/" + id;
        states.started(id, 1);
        caller.call("PUT", path, heartbeat(STATE_PORT, 1)).thenAccept(status -> {
            if (status == OK) {
                states.acknowledged(id);
            } else {
                failed("PUT", path, status);
            }
            counted("DELETE", path, "");
        });
    }

    private void counted(String method, String path, String body) {
        caller.call(method, path, body).thenAccept(status -> {
            if (status != OK) {
                failed(method, path, status);
            }
        });
    }

    private void failed(String method, String path, int status) {
        if (failures.incrementAndGet() <= LOGGED_FAILURES) {
            System.out.println("failed " + method + " " + path + " status=" + status);
        }
    }

    private static String heartbeat(int port, long sequence) {
        return """
                {"address":"127.0.0.1:%d","information":{"service":"s","version":"v1","zone":"a","slotCount":32},
                "status":{"state":"ready","sequence":%d,"coldRemaining":"0ms"}}
                """.formatted(port, sequence);
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}

package ridgemill.cdn.store;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import ridgemill.cdn.keys.KeyLimits;
import ridgemill.cdn.settings.Settings;
import ridgemill.cdn.wire.LinkMessages;
import ridgemill.cdn.wire.LinkServer;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.SocketKind;

/**
 * The configuration store of one core machine: a replica of the configuration and, on a voter, of the register of
 * operation keys. All of it runs on one event loop, and the disk on one thread beside it.
 */
public final class StoreProgram {

    private static final System.Logger LOG = System.getLogger(StoreProgram.class.getName());
    private static final String FOLDER = "store";
    private static final long EXCHANGE_INTERVAL_MS = 1_000;
    private static final long RECOVERY_INTERVAL_MS = 200;
    private static final long UPKEEP_INTERVAL_MS = 1_000;
    /** The share of the heap that key records may fill. */
    private static final int KEY_HEAP_DIVISOR = 4;

    private final Settings settings;
    private final EventLoop loop;
    private final SocketKind sockets;
    private final DiskQueue disk;
    private final StoreReplica replica;
    private final StorePeers peers;
    private final StoreService service;
    private final CompletableFuture<Void> listening = new CompletableFuture<>();
    private final List<Future<?>> timers = new ArrayList<>();
    private LinkServer server;
    private boolean stopped;

    /** A store that is started by {@link #start}. */
    public StoreProgram(Settings settings, EventLoopGroup loops, SocketKind sockets, Clock clock) {
        this(
                settings,
                loops,
                sockets,
                clock,
                new JournalDisk(settings.dataDirectory().resolve(FOLDER)));
    }

    StoreProgram(Settings settings, EventLoopGroup loops, SocketKind sockets, Clock clock, StoreDisk storeDisk) {
        this.settings = settings;
        this.loop = loops.next();
        this.sockets = sockets;
        String lifeId = settings.nodeName()
                + '-'
                + (long) clock.now()
                + '-'
                + Long.toHexString(ThreadLocalRandom.current().nextLong());
        this.disk = new DiskQueue(storeDisk, loop);
        KeyLimits limits = KeyLimits.forWindow(
                settings.bounds().keyWindowMs(), Runtime.getRuntime().maxMemory() / KEY_HEAP_DIVISOR);
        this.replica = new StoreReplica(settings.ipAddress(), lifeId, limits, clock, disk);
        LinkMessages.Hello hello = new LinkMessages.Hello(
                LinkMessages.Hello.PROTOCOL, "store", settings.nodeName(), settings.ipAddress(), lifeId);
        this.service = new StoreService(replica);
        this.peers = new StorePeers(loop, sockets, hello, settings.storePort());
    }

    /**
     * Opens the disk, then listens.
     *
     * @return done once this store answers calls, though perhaps not yet as a voter; failed if its address is taken
     */
    public CompletableFuture<Void> start() {
        disk.start(this::opened, replica::writeAll);
        return listening;
    }

    /** Ends all links, writes what waits and closes the disk. Waits for the disk, so not to be called on the loop. */
    public void stop() {
        loop.submit(this::closeLinks).syncUninterruptibly();
        disk.stop();
    }

    private void opened(StoredState state) {
        if (stopped) {
            return;
        }
        replica.restore(state);
        if (!replica.quorum().isKnown() && settings.firstStart() && !state.lost()) {
            replica.form(settings.seedHosts());
        }
        LOG.log(
                Level.INFO,
                "event=disk_opened voters=" + state.voters() + " items="
                        + state.items().size() + " keys=" + state.records().size() + " lost=" + state.lost());
        InetSocketAddress address = new InetSocketAddress(settings.ipAddress(), settings.storePort());
        LinkServer.open(loop, sockets, address, service).whenComplete((opened, failure) -> {
            if (failure != null) {
                listening.completeExceptionally(failure);
            } else if (stopped) {
                opened.close();
            } else {
                server = opened;
                startTimers();
                listening.complete(null);
            }
        });
    }

    private void startTimers() {
        ItemExchange exchange = new ItemExchange(replica, peers, settings.ipAddress(), settings.seedHosts());
        every(EXCHANGE_INTERVAL_MS, exchange::next);
        every(UPKEEP_INTERVAL_MS, this::upkeep);
        if (!replica.quorum().isKnown()) {
            DiskRecovery recovery = new DiskRecovery(replica, peers, settings.ipAddress());
            recover(recovery);
        }
    }

    private void recover(DiskRecovery recovery) {
        if (!stopped && !recovery.step()) {
            loop.schedule(() -> recover(recovery), RECOVERY_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void every(long intervalMs, Runnable task) {
        timers.add(loop.scheduleWithFixedDelay(task, 0, intervalMs, TimeUnit.MILLISECONDS));
    }

    private void upkeep() {
        replica.expireKeys();
        replica.news().logLaggards(replica.nowMs());
    }

    private void closeLinks() {
        stopped = true;
        timers.forEach(timer -> timer.cancel(false));
        peers.close();
        service.closeLinks();
        if (server != null) {
            server.close();
        }
    }
}

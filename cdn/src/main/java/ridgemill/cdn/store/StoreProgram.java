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
import ridgemill.cdn.agreement.AgreementNode;
import ridgemill.cdn.agreement.NodeSettings;
import ridgemill.cdn.configuration.ConfigurationRules;
import ridgemill.cdn.keys.KeyLimits;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.settings.Settings;
import ridgemill.cdn.wire.LinkMessages;
import ridgemill.cdn.wire.LinkServer;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.SocketKind;

/**
 * The configuration store of one core machine: a replica of the configuration and, on a voter, of the operation keys.
 * Everything runs on one event loop, except for the disk, which has its own thread.
 */
public final class StoreProgram {

    private static final System.Logger LOG = System.getLogger(StoreProgram.class.getName());
    private static final String DATA_FOLDER = "store";
    private static final long KEY_TRANSFER_INTERVAL_MS = 100;
    /** The fraction of the grace period for which a stopping store waits until another store votes in its place. */
    private static final double LEAVE_GRACE_FRACTION = 0.5;

    private static final long MAINTENANCE_INTERVAL_MS = 1_000;
    /** The delay before writing the disk identifier is retried, in milliseconds. */
    private static final long DISK_ID_RETRY_DELAY_MS = 100;
    /** Key records may fill the maximum heap size divided by this number. */
    private static final int KEY_HEAP_DIVISOR = 4;

    private final Settings settings;
    private final String incarnationId;
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

    /** Creates a store that is started by {@link #start}. */
    public StoreProgram(Settings settings, EventLoopGroup loops, SocketKind sockets, Clock clock) {
        this(
                settings,
                loops,
                sockets,
                clock,
                new JournalDisk(settings.dataDirectory().resolve(DATA_FOLDER)));
    }

    StoreProgram(Settings settings, EventLoopGroup loops, SocketKind sockets, Clock clock, StoreDisk storeDisk) {
        this.settings = settings;
        this.loop = loops.next();
        this.sockets = sockets;
        String incarnationId = settings.nodeName()
                + '-'
                + (long) clock.now()
                + '-'
                + Long.toHexString(ThreadLocalRandom.current().nextLong());
        this.incarnationId = incarnationId;
        this.disk = new DiskQueue(storeDisk, loop);
        KeyLimits limits = KeyLimits.forWindow(
                settings.bounds().keyWindowMs(), Runtime.getRuntime().maxMemory() / KEY_HEAP_DIVISOR);
        LinkMessages.Hello hello = new LinkMessages.Hello(
                LinkMessages.Hello.PROTOCOL, "store", settings.nodeName(), settings.ipAddress(), incarnationId);
        this.peers = new StorePeers(loop, sockets, hello, settings.storePort());
        this.replica = new StoreReplica(incarnationId, limits, clock, disk, peers);
        this.service = new StoreService(replica);
    }

    /**
     * Opens the disk, then listens.
     *
     * @return completes once this store answers calls, though possibly not yet as a voter; fails if its address is in
     *     use
     */
    public CompletableFuture<Void> start() {
        disk.start(this::onDiskOpened, replica::writeAll);
        return listening;
    }

    /**
     * Closes all links, writes queued batches and closes the disk. Blocks, so it must not be called on the event loop.
     */
    public void stop() {
        loop.submit(this::closeLinks).syncUninterruptibly();
        disk.stop();
    }

    /** Ensures that the disk has an identifier before this store sends anything to others. */
    private void onDiskOpened(StoredState state) {
        if (stopped) {
            return;
        }
        if (state.identity() != null) {
            startServing(state, state.identity());
            return;
        }
        String diskId = Long.toHexString(ThreadLocalRandom.current().nextLong());
        List<String> founders = settings.firstStart() && !state.lost() ? settings.seedHosts() : List.of();
        DiskIdentity identity = new DiskIdentity(diskId, founders);
        disk.submit(DiskBatch.ofIdentity(identity), written -> {
            if (written) {
                startServing(state, identity);
            } else if (!stopped) {
                loop.schedule(() -> onDiskOpened(state), DISK_ID_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void startServing(StoredState state, DiskIdentity identity) {
        LOG.log(
                Level.INFO,
                "event=disk_opened disk=" + identity.id() + " epoch="
                        + state.accepted().voters().epoch() + " items="
                        + state.accepted().items().size() + " keys="
                        + state.records().size() + " founders="
                        + identity.founders() + " lost="
                        + state.lost());
        NodeSettings node = new NodeSettings(
                new Voter(settings.ipAddress(), identity.id()),
                incarnationId,
                settings.zone(),
                settings.lossCounted(),
                settings.seedHosts(),
                identity.founders(),
                settings.toleratedMachines());
        replica.start(state, node, new ConfigurationRules());
        InetSocketAddress address = new InetSocketAddress(settings.ipAddress(), settings.storePort());
        LinkServer.listenAsync(loop, sockets, address, service).whenComplete((opened, failure) -> {
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
        KeyTransfer transfer = new KeyTransfer(replica, peers);
        schedule(AgreementNode.TICK_MS, () -> replica.agreement().tick(replica.monotonicMs()));
        schedule(KEY_TRANSFER_INTERVAL_MS, transfer::requestMissingPages);
        schedule(MAINTENANCE_INTERVAL_MS, this::runMaintenance);
    }

    /**
     * Leaves the voter set, so that another store can vote in place of this one, then runs the task: once it is
     * replaced, at the latest after half of the grace period.
     */
    public void leave(Runnable task) {
        loop.execute(() -> {
            if (server == null) {
                task.run();
                return;
            }
            double nowMs = replica.monotonicMs();
            LOG.log(Level.INFO, "event=leaving voter=" + replica.agreement().isVoter());
            replica.agreement().leave(nowMs);
            runOnceReplaced(nowMs + LEAVE_GRACE_FRACTION * settings.bounds().gracePeriodMs(), task);
        });
    }

    private void runOnceReplaced(double latestMs, Runnable task) {
        double nowMs = replica.monotonicMs();
        if (nowMs >= latestMs || replica.agreement().canStop(nowMs)) {
            task.run();
        } else {
            loop.schedule(() -> runOnceReplaced(latestMs, task), AgreementNode.TICK_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void schedule(long intervalMs, Runnable task) {
        timers.add(loop.scheduleWithFixedDelay(task, 0, intervalMs, TimeUnit.MILLISECONDS));
    }

    private void runMaintenance() {
        replica.expireKeys();
        replica.updates().logLaggards(replica.nowMs());
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

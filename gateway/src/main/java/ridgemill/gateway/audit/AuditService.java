package ridgemill.gateway.audit;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import ridgemill.Main;
import ridgemill.core.Intake;
import ridgemill.core.RequestCounters.RequestResult;
import ridgemill.core.Timers;
import ridgemill.gateway.Config;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.net.Incarnation;
import ridgemill.gateway.net.Log;
import ridgemill.rollout.FileFingerprint;
import ridgemill.rollout.Quarantine;
import ridgemill.version.AuditEntry;
import ridgemill.version.AuditLineFormat;
import ridgemill.version.EffectiveVersion;
import ridgemill.version.FleetView;
import ridgemill.version.Gossip;
import ridgemill.version.HostListHistory;
import ridgemill.version.RequestTrace;
import ridgemill.version.Summary;
import ridgemill.version.SummaryWire;
import ridgemill.version.VersionHistory;
import ridgemill.version.VersionPeriod;

/**
 * Records the versions in effect in this process and keeps its view of the fleet: sends and receives the datagrams of
 * the version gossip, and answers operators. All methods must be called on the event loop, except {@link #buildId()}
 * and {@link #close()}.
 */
public final class AuditService {

    private static final int DIGEST_CHARS = 8;
    private static final double MS_PER_S = 1000;
    /** Interval for writing the counts to the file; a process that is killed loses the counts since the last write. */
    private static final long COUNTS_INTERVAL_MS = 5000;

    private final EventLoop loop;
    private final Timers timers;
    private final List<InetSocketAddress> peers;
    private final int self;
    private final BiConsumer<Integer, byte[]> send;
    private final VersionHistory history;
    private final FleetView fleetView;
    private final Set<Integer> speakingPeers = new HashSet<>();
    private final long startedMs;
    private final int buildHash;
    private final int platformHash;
    private BooleanSupplier outOfService = () -> false;
    private AuditFile auditFile;
    private int sequenceNumber;
    private long refusedFileNumber;
    private final Map<String, AuditLineFormat.Counts> writtenCounts = new HashMap<>();
    private long datagrams;

    /**
     * Starts the history of this process with the versions that are in effect now.
     *
     * @param build the build as {@link #buildId} returns it
     * @param file version number of the operator file
     * @param digest digest of its text
     * @param sendsVersion whether the version is sent to nodes with each attempt
     * @param send sends a datagram to the peer with this index
     */
    public AuditService(EventLoop loop, Timers timers, Config config, String build, long file, String digest,
                        boolean sendsVersion, BiConsumer<Integer, byte[]> send) {
        this.loop = loop;
        this.timers = timers;
        this.peers = config.peerListen() == null ? List.of() : config.peers();
        this.self = config.settings().proxyIndex();
        this.send = send;
        double now = timers.now();
        this.startedMs = (long) now;
        String platformDigest = AuditEntry.hash(config.settings().classes() + "|" + config.settings().tenants() + "|"
                + config.settings().rules() + "|"
                + config.settings().limits()).substring(0, DIGEST_CHARS);
        this.history = new VersionHistory(config.name(), Incarnation.of(now), now,
                new EffectiveVersion(build, platformDigest, file, digest), sendsVersion);
        this.buildHash = (int) leadingBits(AuditEntry.hash(build), Integer.BYTES);
        this.platformHash = (int) leadingBits(platformDigest, Integer.BYTES);
        this.fleetView = new FleetView(self, Math.max(1, peers.size()), config.seed());
        fleetView.updateOwn(now, ownSummary());
        Log.info("audit: acts under " + history.label(history.currentPeriod().version()));
    }

    /**
     * Returns the version of the program and the start of its jar's digest, or "classes" instead of the digest if it
     * runs from a class directory. Reads the whole jar, so it must not be called on an event loop.
     */
    public static String buildId() {
        String version = Main.class.getPackage().getImplementationVersion();
        try {
            Path codeSource = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            String digest = Files.isRegularFile(codeSource) ? HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(Files.readAllBytes(codeSource)))
                    .substring(0, DIGEST_CHARS) : "classes";
            return (version == null ? "unknown" : version) + "-" + digest;
        } catch (URISyntaxException | NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the version history, which also records requests. */
    public VersionHistory history() {
        return history;
    }

    /** Sets the source of this proxy's out-of-service state, which is sent to the peers. */
    public void setOutOfService(BooleanSupplier source) {
        outOfService = source;
    }

    /** Sets how many of the last requests are kept as individual traces. */
    public void keepTraces(int maxTraces) {
        history.keepTraces(maxTraces);
    }

    /** Also writes the history to a file in this directory; the file's name contains the name of the proxy. */
    public void writeTo(Path directory, long maxBytes) {
        auditFile = new AuditFile(directory.resolve("acts-" + history.name() + ".log"), maxBytes);
        history.setEntryListener(entry -> auditFile.append(List.of(AuditLineFormat.line(history.name(),
                history.incarnation(), entry))));
        loop.scheduleWithFixedDelay(this::writeCounts, COUNTS_INTERVAL_MS, COUNTS_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Writes the counts of each version that changed since the last write to the file, if there is one. */
    public void writeCounts() {
        if (auditFile == null) {
            return;
        }
        Map<String, AuditLineFormat.Counts> now = new TreeMap<>();
        for (VersionPeriod period : history.periods()) {
            AuditLineFormat.Counts current = new AuditLineFormat.Counts(period.version().text(), timers.now(),
                    period.begun(), period.attempts(), period.count(RequestResult.SERVED),
                    period.count(RequestResult.REFUSED),
                    period.count(RequestResult.FAILED), period.count(RequestResult.GONE));
            now.merge(current.version(), current, AuditLineFormat.Counts::plus);
        }
        List<String> lines = new ArrayList<>();
        now.forEach((version, counts) -> {
            AuditLineFormat.Counts previous = writtenCounts.put(version, counts);
            if (previous == null || !previous.hasSameCounts(counts)) {
                lines.add(AuditLineFormat.line(history.name(), history.incarnation(), counts));
            }
        });
        if (!lines.isEmpty()) {
            auditFile.append(lines);
        }
    }

    /** Closes the file, if there is one. Blocks, so it must not be called on the event loop. */
    public void close() throws InterruptedException {
        if (auditFile != null) {
            auditFile.close();
        }
    }

    /** Records that the status of a lease has changed in this process. */
    public void leaseChanged(String task, String status) {
        history.recordEvent(timers.now(), "lease " + task + ": " + status);
    }

    /** Returns the trace of the request with this id, or an object with a reason if there is none. */
    public JsonObject requestJson(String id) {
        JsonObject json = new JsonObject();
        RequestTrace trace = history.trace(id);
        if (trace == null) {
            json.addProperty("reason", "not among the last requests of this process: " + id);
            return json;
        }
        json.addProperty("id", trace.id());
        json.addProperty("under", history.label(trace.period().version()));
        json.addProperty("class", trace.service());
        json.addProperty("group", trace.group());
        json.addProperty("list", trace.hostList());
        json.addProperty("from_ms", (long) trace.startMs());
        JsonArray attempts = new JsonArray();
        for (RequestTrace.Attempt sentAttempt : trace.attempts()) {
            JsonObject attempt = new JsonObject();
            attempt.addProperty("node", sentAttempt.node());
            attempt.addProperty("after_ms", sentAttempt.sentMs() - trace.startMs());
            attempt.addProperty("outcome", sentAttempt.outcome() == null ? null : sentAttempt.outcome().name());
            attempt.addProperty("took_ms", sentAttempt.outcome() == null ? null
                    : sentAttempt.endMs() - sentAttempt.sentMs());
            attempts.add(attempt);
        }
        json.add("attempts", attempts);
        json.addProperty("end", trace.end() == null ? null : trace.end().name().toLowerCase(Locale.ROOT));
        json.addProperty("why", trace.reason().code());
        json.addProperty("took_ms", trace.end() == null ? null : trace.endMs() - trace.startMs());
        return json;
    }

    /** Starts the gossip with the peers, if there are any. */
    public void start() {
        if (peers.size() > 1) {
            loop.scheduleWithFixedDelay(this::gossipRound, 0, (long) FleetView.ROUND_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Records that another operator file is in effect from now on. */
    public void fileChanged(long file, String digest, String cause) {
        EffectiveVersion current = history.currentPeriod().version();
        refusedFileNumber = 0;
        if (!current.fileDigest().equals(digest) || current.fileNumber() != file) {
            history.change(timers.now(), current.withFile(file, digest), cause);
            Log.info("audit: acts under " + history.label(history.currentPeriod().version()) + ": " + cause);
        }
    }

    /** Records that an operator file was rejected; {@code file} is its version number, or 0 if it could not be read. */
    public void fileRefused(long file, String reason) {
        refusedFileNumber = file <= 0 ? Integer.MAX_VALUE : file;
        history.recordRefusal(timers.now(), "file " + (file <= 0 ? "that can't be read" : file) + ": " + reason);
    }

    private Summary ownSummary() {
        EffectiveVersion current = history.currentPeriod().version();
        long begun = 0;
        long served = 0;
        for (VersionPeriod period : history.periods()) {
            if (period.version().equals(current)) {
                begun += period.begun();
                served += period.count(RequestResult.SERVED);
            }
        }
        return new Summary(self, history.incarnation(), ++sequenceNumber, startedMs, buildHash, platformHash,
                current.fileNumber(),
                leadingBits(current.fileDigest(), Long.BYTES),
                (long) (timers.now() - history.currentPeriod().startMs()), (int) history.size(),
                leadingBits(history.digest(), Long.BYTES), begun, served, refusedFileNumber,
                outOfService.getAsBoolean(),
                (int) history.hostLists().currentNumber(Intake.PLATFORM_GROUP),
                (int) Math.min(Summary.MAX_LATE_S, history.hostLists().lateMs(timers.now(),
                Intake.PLATFORM_GROUP) / MS_PER_S));
    }

    private static long leadingBits(String digest, int bytes) {
        return Long.parseUnsignedLong(digest.substring(0, 2 * bytes), 16);
    }

    private void gossipRound() {
        fleetView.gossipRound(timers.now(), ownSummary()).forEach((to, gossip) -> {
            datagrams++;
            send.accept(to, speakingPeers.contains(to) ? SummaryWire.encode(gossip) : SummaryWire.hello());
        });
    }

    /** Handles a datagram of any kind from the peer with this index; datagrams of other services are ignored. */
    public void datagramReceived(int from, byte[] datagram) {
        boolean hello = SummaryWire.isHello(datagram);
        Optional<Gossip> gossip = SummaryWire.decode(datagram);
        gossip.ifPresent(g -> fleetView.receive(timers.now(), g));
        if ((hello || gossip.isPresent()) && speakingPeers.add(from) && hello) {
            send.accept(from, SummaryWire.hello());
        }
    }

    /** Returns the version of the operator file in effect. */
    public FileFingerprint.FileVersion fileInEffect() {
        EffectiveVersion current = history.currentPeriod().version();
        return new FileFingerprint.FileVersion((int) current.fileNumber(),
                leadingBits(current.fileDigest(), Long.BYTES));
    }

    /** Returns the part of a digest that is sent to peers. */
    public static long digestBits(String digest) {
        return leadingBits(digest, Long.BYTES);
    }

    /** Returns the status of all members; that of this process is updated first. */
    private List<FleetView.MemberStatus> memberStatuses() {
        fleetView.updateOwn(timers.now(), ownSummary());
        return fleetView.statuses(timers.now());
    }

    /** Returns the known state of the other proxies. */
    public List<Quarantine.Peer> others() {
        List<Quarantine.Peer> others = new ArrayList<>();
        for (FleetView.MemberStatus status : memberStatuses()) {
            if (status.summary() != null && status.member() != self) {
                FileFingerprint.FileVersion version = status.isCurrent()
                        ? new FileFingerprint.FileVersion((int) status.summary().fileNumber(),
                        status.summary().fileDigest()) : null;
                others.add(new Quarantine.Peer(status.member(), version, FleetView.isAlive(status),
                        status.summary().outOfService()));
            }
        }
        return others;
    }

    /** Whether the last report of the proxy with this index says that it is out of service. */
    public boolean isOutOfService(int member) {
        return fleetView.isOutOfService(member);
    }

    /** Returns the versions that were in effect in this process, with counts and the hash chain of changes. */
    public JsonObject auditJson() {
        double now = timers.now();
        JsonObject json = new JsonObject();
        json.addProperty("proxy", history.name());
        json.addProperty("incarnation", Integer.toHexString(history.incarnation()));
        json.addProperty("acts_under", history.label(history.currentPeriod().version()));
        json.addProperty("refused", history.lastRefusal());
        JsonArray periods = new JsonArray();
        for (VersionPeriod period : history.periods()) {
            JsonObject periodJson = new JsonObject();
            periodJson.addProperty("index", period.index());
            periodJson.addProperty("version", period.version().text());
            periodJson.addProperty("build", period.version().build());
            periodJson.addProperty("platform", period.version().platform());
            periodJson.addProperty("cause", period.cause());
            periodJson.addProperty("from_ms", (long) period.startMs());
            periodJson.addProperty("for_s", ((Double.isNaN(period.endMs()) ? now
                    : period.endMs()) - period.startMs()) / MS_PER_S);
            periodJson.addProperty("begun", period.begun());
            periodJson.addProperty("open", period.openRequests());
            periodJson.addProperty("attempts", period.attempts());
            JsonObject classes = new JsonObject();
            for (String service : period.classNames()) {
                JsonObject results = new JsonObject();
                for (RequestResult result : RequestResult.values()) {
                    results.addProperty(result.name().toLowerCase(Locale.ROOT), period.count(service, result));
                }
                classes.add(service, results);
            }
            periodJson.add("classes", classes);
            periods.add(periodJson);
        }
        json.add("eras", periods);
        json.addProperty("gone_requests", history.evictedRequests());
        JsonArray entries = new JsonArray();
        history.entries().forEach(e -> entries.add("%d %.0f %s %s".formatted(e.index(), e.atMs(), e.digest(),
                e.description())));
        json.add("entries", entries);
        JsonArray lists = new JsonArray();
        for (HostListHistory.ActiveList active : history.hostLists().current()) {
            JsonObject list = new JsonObject();
            list.addProperty("group", active.group());
            list.addProperty("list", active.number());
            list.addProperty("for_s", (now - active.sinceMs()) / MS_PER_S);
            list.addProperty("late_s", history.hostLists().lateMs(now, active.group()) / MS_PER_S);
            lists.add(list);
        }
        json.add("lists", lists);
        json.addProperty("list_changes", history.hostLists().changeCount());
        if (auditFile != null) {
            json.addProperty("lost_lines", auditFile.lostLines());
        }
        json.addProperty("before", history.digestBefore());
        json.addProperty("flaw", AuditEntry.findFlaw(history.digestBefore(), history.entries()));
        return json;
    }

    /** Describes the state of each proxy of the fleet as known here, one line each. */
    public List<String> describeFleet() {
        List<String> lines = new ArrayList<>();
        for (FleetView.MemberStatus status : memberStatuses()) {
            String name = peers.isEmpty() ? history.name() : Addresses.text(peers.get(status.member()));
            lines.add(name + (status.member() == self || peers.isEmpty() ? " (this one): " : ": ") + status.reason()
                    + " " + status.describe());
        }
        lines.add("highest file number known: " + fleetView.highestFileNumber() + "; " + datagrams + " datagrams sent");
        return lines;
    }

    /** Returns the metrics for the console by name. */
    public Map<String, Long> metrics() {
        long behind = fleetView.statuses(timers.now()).stream().filter(s -> s.behind() > 0).count();
        return Map.of("file_version", history.currentPeriod().version().fileNumber(), "proxies_behind", behind);
    }
}

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
 * One process' record of what it acts under, and its view of the fleet: datagrams in and out, and what operators are told. All calls
 * are on the loop.
 */
public final class AuditService {

    private static final int DIGEST_CHARS = 8;
    private static final double MS_PER_S = 1000;
    /** So often counts go to the file: what a process that is killed took since is not in it. */
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
     * Begins a record.
     *
     * @param build as {@link #buildHash} tells it
     * @param file number of the operator file
     * @param digest of its text
     * @param tells whether nodes are told with each attempt
     * @param send sends a datagram to a peer by its place
     */
    public AuditService(EventLoop loop, Timers timers, Config config, String build, long file, String digest, boolean tells, BiConsumer<Integer, byte[]> send) {
        this.loop = loop;
        this.timers = timers;
        this.peers = config.peerListen() == null ? List.of() : config.peers();
        this.self = config.settings().proxyIndex();
        this.send = send;
        double now = timers.now();
        this.startedMs = (long) now;
        String platformDigest = AuditEntry.hash(config.settings().classes() + "|" + config.settings().tenants() + "|" + config.settings().rules() + "|"
                + config.settings().limits()).substring(0, DIGEST_CHARS);
        this.history = new VersionHistory(config.name(), Incarnation.of(now), now, new EffectiveVersion(build, platformDigest, file, digest), tells);
        this.buildHash = (int) leadingBits(AuditEntry.hash(build), Integer.BYTES);
        this.platformHash = (int) leadingBits(platformDigest, Integer.BYTES);
        this.fleetView = new FleetView(self, Math.max(1, peers.size()), config.seed());
        fleetView.updateOwn(now, ownSummary());
        Log.info("audit: acts under " + history.label(history.currentPeriod().version()));
    }

    /**
     * What the program was built from: its version and the digest of its jar; classes that lie about have none. Reads all of the jar, and
     * is not to be called on a loop.
     */
    public static String buildId() {
        String version = Main.class.getPackage().getImplementationVersion();
        try {
            Path from = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            String digest = Files.isRegularFile(from) ? HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(Files.readAllBytes(from)))
                    .substring(0, DIGEST_CHARS) : "classes";
            return (version == null ? "unknown" : version) + "-" + digest;
        } catch (URISyntaxException | NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Where requests are kept. */
    public VersionHistory history() {
        return history;
    }

    /** Whether this proxy has stepped aside, which others are told. */
    public void setOutOfService(BooleanSupplier isOut) {
        outOfService = isOut;
    }

    /** So many of the last requests are kept one by one from now on. */
    public void keepTraces(int most) {
        history.keepTraces(most);
    }

    /** The record is kept in a file of this directory as well, which is named by the proxy. */
    public void writeTo(Path directory, long mostBytes) {
        auditFile = new AuditFile(directory.resolve("acts-" + history.name() + ".log"), mostBytes);
        history.setEntryListener(entry -> auditFile.append(List.of(AuditLineFormat.line(history.name(), history.incarnation(), entry))));
        loop.scheduleWithFixedDelay(this::writeCounts, COUNTS_INTERVAL_MS, COUNTS_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Has the counts of all versions that are not written yet written to the file; on the loop. */
    public void writeCounts() {
        if (auditFile == null) {
            return;
        }
        Map<String, AuditLineFormat.Counts> now = new TreeMap<>();
        for (VersionPeriod e : history.periods()) {
            AuditLineFormat.Counts of = new AuditLineFormat.Counts(e.version().text(), timers.now(), e.begun(), e.attempts(), e.count(RequestResult.SERVED), e.count(RequestResult.REFUSED),
                    e.count(RequestResult.FAILED), e.count(RequestResult.GONE));
            now.merge(of.version(), of, AuditLineFormat.Counts::plus);
        }
        List<String> lines = new ArrayList<>();
        now.forEach((version, counts) -> {
            AuditLineFormat.Counts before = writtenCounts.put(version, counts);
            if (before == null || !before.hasSameCounts(counts)) {
                lines.add(AuditLineFormat.line(history.name(), history.incarnation(), counts));
            }
        });
        if (!lines.isEmpty()) {
            auditFile.append(lines);
        }
    }

    /** Ends the file, if there is one; not on the loop. */
    public void close() throws InterruptedException {
        if (auditFile != null) {
            auditFile.close();
        }
    }

    /** A lease's standing here has changed. */
    public void leaseChanged(String task, String words) {
        history.recordEvent(timers.now(), "lease " + task + ": " + words);
    }

    /** What this process knows of one request, by its id. */
    public JsonObject requestJson(String id) {
        JsonObject o = new JsonObject();
        RequestTrace trail = history.trace(id);
        if (trail == null) {
            o.addProperty("reason", "not among the last requests of this process: " + id);
            return o;
        }
        o.addProperty("id", trail.id());
        o.addProperty("under", history.label(trail.period().version()));
        o.addProperty("class", trail.service());
        o.addProperty("group", trail.group());
        o.addProperty("list", trail.hostList());
        o.addProperty("from_ms", (long) trail.startMs());
        JsonArray sent = new JsonArray();
        for (RequestTrace.Attempt s : trail.sent()) {
            JsonObject attempt = new JsonObject();
            attempt.addProperty("node", s.node());
            attempt.addProperty("after_ms", s.sentMs() - trail.startMs());
            attempt.addProperty("outcome", s.outcome() == null ? null : s.outcome().name());
            attempt.addProperty("took_ms", s.outcome() == null ? null : s.endMs() - s.sentMs());
            sent.add(attempt);
        }
        o.add("attempts", sent);
        o.addProperty("end", trail.end() == null ? null : trail.end().name().toLowerCase(Locale.ROOT));
        o.addProperty("why", trail.reason().code());
        o.addProperty("took_ms", trail.end() == null ? null : trail.endMs() - trail.startMs());
        return o;
    }

    /** Begins to tell others. */
    public void start() {
        if (peers.size() > 1) {
            loop.scheduleWithFixedDelay(this::gossipRound, 0, (long) FleetView.ROUND_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Another operator file holds from now on. */
    public void fileChanged(long file, String digest, String cause) {
        EffectiveVersion acting = history.currentPeriod().version();
        refusedFileNumber = 0;
        if (!acting.fileDigest().equals(digest) || acting.fileNumber() != file) {
            history.change(timers.now(), acting.withFile(file, digest), cause);
            Log.info("audit: acts under " + history.label(history.currentPeriod().version()) + ": " + cause);
        }
    }

    /** An operator file was not taken; {@code file} is its number, 0 where it could not be read so far. */
    public void fileRefused(long file, String why) {
        refusedFileNumber = file <= 0 ? Integer.MAX_VALUE : file;
        history.recordRefusal(timers.now(), "file " + (file <= 0 ? "that can't be read" : file) + ": " + why);
    }

    private Summary ownSummary() {
        EffectiveVersion acting = history.currentPeriod().version();
        long begun = 0;
        long served = 0;
        for (VersionPeriod e : history.periods()) {
            if (e.version().equals(acting)) {
                begun += e.begun();
                served += e.count(RequestResult.SERVED);
            }
        }
        return new Summary(self, history.incarnation(), ++sequenceNumber, startedMs, buildHash, platformHash, acting.fileNumber(),
                leadingBits(acting.fileDigest(), Long.BYTES), (long) (timers.now() - history.currentPeriod().startMs()), (int) history.size(), leadingBits(history.digest(), Long.BYTES), begun, served, refusedFileNumber, outOfService.getAsBoolean(),
                (int) history.hostLists().currentNumber(Intake.PLATFORM_GROUP), (int) Math.min(Summary.MAX_LATE_S, history.hostLists().lateMs(timers.now(), Intake.PLATFORM_GROUP) / MS_PER_S));
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

    /** A datagram of a peer, by its place; of whatever kind. */
    public void datagramReceived(int from, byte[] datagram) {
        boolean hello = SummaryWire.isHello(datagram);
        Optional<Gossip> gossip = SummaryWire.decode(datagram);
        gossip.ifPresent(g -> fleetView.receive(timers.now(), g));
        if ((hello || gossip.isPresent()) && speakingPeers.add(from) && hello) {
            send.accept(from, SummaryWire.hello());
        }
    }

    /** What this process acts under now. */
    public FileFingerprint.FileVersion fileInEffect() {
        EffectiveVersion acting = history.currentPeriod().version();
        return new FileFingerprint.FileVersion((int) acting.fileNumber(), leadingBits(acting.fileDigest(), Long.BYTES));
    }

    /** A digest as others are told of it. */
    public static long digestBits(String digest) {
        return leadingBits(digest, Long.BYTES);
    }

    /** How all are, this one as of now. */
    private List<FleetView.MemberStatus> memberStatuses() {
        fleetView.updateOwn(timers.now(), ownSummary());
        return fleetView.statuses(timers.now());
    }

    /** What is known of the other proxies. */
    public List<Quarantine.Peer> others() {
        List<Quarantine.Peer> others = new ArrayList<>();
        for (FleetView.MemberStatus s : memberStatuses()) {
            if (s.summary() != null && s.member() != self) {
                FileFingerprint.FileVersion acting = s.isCurrent() ? new FileFingerprint.FileVersion((int) s.summary().fileNumber(), s.summary().fileDigest()) : null;
                others.add(new Quarantine.Peer(s.member(), acting, FleetView.isAlive(s), s.summary().outOfService()));
            }
        }
        return others;
    }

    /** Whether a proxy, by its place, has said that it has stepped aside, and has not been heard to say otherwise. */
    public boolean isOutOfService(int member) {
        return fleetView.isOutOfService(member);
    }

    /** What this process acted under, with counts and the chain of changes. */
    public JsonObject auditJson() {
        double now = timers.now();
        JsonObject o = new JsonObject();
        o.addProperty("proxy", history.name());
        o.addProperty("incarnation", Integer.toHexString(history.incarnation()));
        o.addProperty("acts_under", history.label(history.currentPeriod().version()));
        o.addProperty("refused", history.lastRefusal());
        JsonArray eras = new JsonArray();
        for (VersionPeriod e : history.periods()) {
            JsonObject era = new JsonObject();
            era.addProperty("index", e.index());
            era.addProperty("version", e.version().text());
            era.addProperty("build", e.version().build());
            era.addProperty("platform", e.version().platform());
            era.addProperty("cause", e.cause());
            era.addProperty("from_ms", (long) e.startMs());
            era.addProperty("for_s", ((Double.isNaN(e.endMs()) ? now : e.endMs()) - e.startMs()) / MS_PER_S);
            era.addProperty("begun", e.begun());
            era.addProperty("open", e.openRequests());
            era.addProperty("attempts", e.attempts());
            JsonObject classes = new JsonObject();
            for (String service : e.classNames()) {
                JsonObject ends = new JsonObject();
                for (RequestResult end : RequestResult.values()) {
                    ends.addProperty(end.name().toLowerCase(Locale.ROOT), e.count(service, end));
                }
                classes.add(service, ends);
            }
            era.add("classes", classes);
            eras.add(era);
        }
        o.add("eras", eras);
        o.addProperty("gone_requests", history.evictedRequests());
        JsonArray entries = new JsonArray();
        history.entries().forEach(e -> entries.add("%d %.0f %s %s".formatted(e.index(), e.atMs(), e.digest(), e.description())));
        o.add("entries", entries);
        JsonArray lists = new JsonArray();
        for (HostListHistory.ActiveList held : history.hostLists().current()) {
            JsonObject list = new JsonObject();
            list.addProperty("group", held.group());
            list.addProperty("list", held.number());
            list.addProperty("for_s", (now - held.sinceMs()) / MS_PER_S);
            list.addProperty("late_s", history.hostLists().lateMs(now, held.group()) / MS_PER_S);
            lists.add(list);
        }
        o.add("lists", lists);
        o.addProperty("list_changes", history.hostLists().changeCount());
        if (auditFile != null) {
            o.addProperty("lost_lines", auditFile.lostLines());
        }
        o.addProperty("before", history.digestBefore());
        o.addProperty("flaw", AuditEntry.findFlaw(history.digestBefore(), history.entries()));
        return o;
    }

    /** How each proxy of the fleet is, as far as this one knows: a line each. */
    public List<String> describeFleet() {
        List<String> lines = new ArrayList<>();
        for (FleetView.MemberStatus s : memberStatuses()) {
            String who = peers.isEmpty() ? history.name() : Addresses.text(peers.get(s.member()));
            lines.add(who + (s.member() == self || peers.isEmpty() ? " (this one): " : ": ") + s.reason() + " " + s.describe());
        }
        lines.add("highest file number known: " + fleetView.highestFileNumber() + "; " + datagrams + " datagrams sent");
        return lines;
    }

    /** Counts for the console. */
    public Map<String, Long> metrics() {
        long lag = fleetView.statuses(timers.now()).stream().filter(s -> s.behind() > 0).count();
        return Map.of("file_version", history.currentPeriod().version().fileNumber(), "proxies_behind", lag);
    }
}

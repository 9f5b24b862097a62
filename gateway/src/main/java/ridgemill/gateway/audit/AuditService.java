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
import ridgemill.rollout.Aside;
import ridgemill.rollout.Stamp;
import ridgemill.version.ActRecord;
import ridgemill.version.Acting;
import ridgemill.version.Entry;
import ridgemill.version.Era;
import ridgemill.version.FleetView;
import ridgemill.version.Gossip;
import ridgemill.version.HostLists;
import ridgemill.version.Kept;
import ridgemill.version.Summary;
import ridgemill.version.SummaryWire;
import ridgemill.version.Trail;

/**
 * One process' record of what it acts under, and its view of the fleet: datagrams in and out, and what operators are told. All calls
 * are on the loop.
 */
public final class AuditService {

    private static final int DIGEST_CHARS = 8;
    private static final double MS_PER_S = 1000;
    /** So often counts go to the file: what a process that is killed took since is not in it. */
    private static final long COUNTS_EVERY_MS = 5000;

    private final EventLoop loop;
    private final Timers timers;
    private final List<InetSocketAddress> peers;
    private final int self;
    private final BiConsumer<Integer, byte[]> send;
    private final ActRecord record;
    private final FleetView view;
    private final Set<Integer> speak = new HashSet<>();
    private final long startedMs;
    private final int build;
    private final int platform;
    private BooleanSupplier out = () -> false;
    private ActFile file;
    private int number;
    private long refusedFile;
    private final Map<String, Kept.Counts> kept = new HashMap<>();
    private long datagrams;

    /**
     * Begins a record.
     *
     * @param build as {@link #build} tells it
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
        String platformDigest = Entry.hash(config.settings().classes() + "|" + config.settings().tenants() + "|" + config.settings().rules() + "|"
                + config.settings().limits()).substring(0, DIGEST_CHARS);
        this.record = new ActRecord(config.name(), Incarnation.of(now), now, new Acting(build, platformDigest, file, digest), tells);
        this.build = (int) bits(Entry.hash(build), Integer.BYTES);
        this.platform = (int) bits(platformDigest, Integer.BYTES);
        this.view = new FleetView(self, Math.max(1, peers.size()), config.seed());
        view.own(now, own());
        Log.info("audit: acts under " + record.label(record.now().acting()));
    }

    /**
     * What the program was built from: its version and the digest of its jar; classes that lie about have none. Reads all of the jar, and
     * is not to be called on a loop.
     */
    public static String build() {
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
    public ActRecord record() {
        return record;
    }

    /** Whether this proxy has stepped aside, which others are told. */
    public void tellOut(BooleanSupplier isOut) {
        out = isOut;
    }

    /** So many of the last requests are kept one by one from now on. */
    public void keepRequests(int most) {
        record.trails(most);
    }

    /** The record is kept in a file of this directory as well, which is named by the proxy. */
    public void keepIn(Path directory, long mostBytes) {
        file = new ActFile(directory.resolve("acts-" + record.name() + ".log"), mostBytes);
        record.keeper(entry -> file.append(List.of(Kept.line(record.name(), record.incarnation(), entry))));
        loop.scheduleWithFixedDelay(this::keepCounts, COUNTS_EVERY_MS, COUNTS_EVERY_MS, TimeUnit.MILLISECONDS);
    }

    /** Has the counts of all versions that are not written yet written to the file; on the loop. */
    public void keepCounts() {
        if (file == null) {
            return;
        }
        Map<String, Kept.Counts> now = new TreeMap<>();
        for (Era e : record.eras()) {
            Kept.Counts of = new Kept.Counts(e.acting().text(), timers.now(), e.begun(), e.attempts(), e.of(RequestResult.SERVED), e.of(RequestResult.REFUSED),
                    e.of(RequestResult.FAILED), e.of(RequestResult.GONE));
            now.merge(of.version(), of, Kept.Counts::plus);
        }
        List<String> lines = new ArrayList<>();
        now.forEach((version, counts) -> {
            Kept.Counts before = kept.put(version, counts);
            if (before == null || !before.isAsMuchAs(counts)) {
                lines.add(Kept.line(record.name(), record.incarnation(), counts));
            }
        });
        if (!lines.isEmpty()) {
            file.append(lines);
        }
    }

    /** Ends the file, if there is one; not on the loop. */
    public void close() throws InterruptedException {
        if (file != null) {
            file.close();
        }
    }

    /** A lease's standing here has changed. */
    public void lease(String task, String words) {
        record.note(timers.now(), "lease " + task + ": " + words);
    }

    /** What this process knows of one request, by its id. */
    public JsonObject request(String id) {
        JsonObject o = new JsonObject();
        Trail trail = record.trail(id);
        if (trail == null) {
            o.addProperty("reason", "not among the last requests of this process: " + id);
            return o;
        }
        o.addProperty("id", trail.id());
        o.addProperty("under", record.label(trail.era().acting()));
        o.addProperty("class", trail.service());
        o.addProperty("group", trail.group());
        o.addProperty("list", trail.list());
        o.addProperty("from_ms", (long) trail.fromMs());
        JsonArray sent = new JsonArray();
        for (Trail.Sent s : trail.sent()) {
            JsonObject attempt = new JsonObject();
            attempt.addProperty("node", s.node());
            attempt.addProperty("after_ms", s.atMs() - trail.fromMs());
            attempt.addProperty("outcome", s.outcome() == null ? null : s.outcome().name());
            attempt.addProperty("took_ms", s.outcome() == null ? null : s.endMs() - s.atMs());
            sent.add(attempt);
        }
        o.add("attempts", sent);
        o.addProperty("end", trail.end() == null ? null : trail.end().name().toLowerCase(Locale.ROOT));
        o.addProperty("why", trail.why().code());
        o.addProperty("took_ms", trail.end() == null ? null : trail.overMs() - trail.fromMs());
        return o;
    }

    /** Begins to tell others. */
    public void start() {
        if (peers.size() > 1) {
            loop.scheduleWithFixedDelay(this::round, 0, (long) FleetView.EVERY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Another operator file holds from now on. */
    public void changed(long file, String digest, String cause) {
        Acting acting = record.now().acting();
        refusedFile = 0;
        if (!acting.digest().equals(digest) || acting.file() != file) {
            record.change(timers.now(), acting.under(file, digest), cause);
            Log.info("audit: acts under " + record.label(record.now().acting()) + ": " + cause);
        }
    }

    /** An operator file was not taken; {@code file} is its number, 0 where it could not be read so far. */
    public void refused(long file, String why) {
        refusedFile = file <= 0 ? Integer.MAX_VALUE : file;
        record.refuses(timers.now(), "file " + (file <= 0 ? "that can't be read" : file) + ": " + why);
    }

    private Summary own() {
        Acting acting = record.now().acting();
        long begun = 0;
        long served = 0;
        for (Era e : record.eras()) {
            if (e.acting().equals(acting)) {
                begun += e.begun();
                served += e.of(RequestResult.SERVED);
            }
        }
        return new Summary(self, record.incarnation(), ++number, startedMs, build, platform, acting.file(),
                bits(acting.digest(), Long.BYTES), (long) (timers.now() - record.now().fromMs()), (int) record.size(), bits(record.digest(), Long.BYTES), begun, served, refusedFile, out.getAsBoolean(),
                (int) record.lists().of(Intake.PLATFORM_GROUP), (int) Math.min(Summary.MOST_LATE_S, record.lists().lateMs(timers.now(), Intake.PLATFORM_GROUP) / MS_PER_S));
    }

    private static long bits(String digest, int bytes) {
        return Long.parseUnsignedLong(digest.substring(0, 2 * bytes), 16);
    }

    private void round() {
        view.round(timers.now(), own()).forEach((to, gossip) -> {
            datagrams++;
            send.accept(to, speak.contains(to) ? SummaryWire.encode(gossip) : SummaryWire.hello());
        });
    }

    /** A datagram of a peer, by its place; of whatever kind. */
    public void heard(int from, byte[] datagram) {
        boolean hello = SummaryWire.isHello(datagram);
        Optional<Gossip> gossip = SummaryWire.decode(datagram);
        gossip.ifPresent(g -> view.heard(timers.now(), g));
        if ((hello || gossip.isPresent()) && speak.add(from) && hello) {
            send.accept(from, SummaryWire.hello());
        }
    }

    /** What this process acts under now. */
    public Stamp.Acting acting() {
        Acting acting = record.now().acting();
        return new Stamp.Acting((int) acting.file(), bits(acting.digest(), Long.BYTES));
    }

    /** A digest as others are told of it. */
    public static long meaning(String digest) {
        return bits(digest, Long.BYTES);
    }

    /** How all are, this one as of now. */
    private List<FleetView.Standing> standings() {
        view.own(timers.now(), own());
        return view.standings(timers.now());
    }

    /** What is known of the other proxies. */
    public List<Aside.Peer> others() {
        List<Aside.Peer> others = new ArrayList<>();
        for (FleetView.Standing s : standings()) {
            if (s.summary() != null && s.member() != self) {
                Stamp.Acting acting = s.isCurrent() ? new Stamp.Acting((int) s.summary().file(), s.summary().digest()) : null;
                others.add(new Aside.Peer(s.member(), acting, FleetView.isAlive(s), s.summary().out()));
            }
        }
        return others;
    }

    /** Whether a proxy, by its place, has said that it has stepped aside, and has not been heard to say otherwise. */
    public boolean isOut(int member) {
        return view.isOut(member);
    }

    /** What this process acted under, with counts and the chain of changes. */
    public JsonObject audit() {
        double now = timers.now();
        JsonObject o = new JsonObject();
        o.addProperty("proxy", record.name());
        o.addProperty("incarnation", Integer.toHexString(record.incarnation()));
        o.addProperty("acts_under", record.label(record.now().acting()));
        o.addProperty("refused", record.refused());
        JsonArray eras = new JsonArray();
        for (Era e : record.eras()) {
            JsonObject era = new JsonObject();
            era.addProperty("index", e.index());
            era.addProperty("version", e.acting().text());
            era.addProperty("build", e.acting().build());
            era.addProperty("platform", e.acting().platform());
            era.addProperty("cause", e.cause());
            era.addProperty("from_ms", (long) e.fromMs());
            era.addProperty("for_s", ((Double.isNaN(e.untilMs()) ? now : e.untilMs()) - e.fromMs()) / MS_PER_S);
            era.addProperty("begun", e.begun());
            era.addProperty("open", e.open());
            era.addProperty("attempts", e.attempts());
            JsonObject classes = new JsonObject();
            for (String service : e.classes()) {
                JsonObject ends = new JsonObject();
                for (RequestResult end : RequestResult.values()) {
                    ends.addProperty(end.name().toLowerCase(Locale.ROOT), e.of(service, end));
                }
                classes.add(service, ends);
            }
            era.add("classes", classes);
            eras.add(era);
        }
        o.add("eras", eras);
        o.addProperty("gone_requests", record.goneRequests());
        JsonArray entries = new JsonArray();
        record.entries().forEach(e -> entries.add("%d %.0f %s %s".formatted(e.index(), e.atMs(), e.digest(), e.what())));
        o.add("entries", entries);
        JsonArray lists = new JsonArray();
        for (HostLists.Held held : record.lists().now()) {
            JsonObject list = new JsonObject();
            list.addProperty("group", held.group());
            list.addProperty("list", held.list());
            list.addProperty("for_s", (now - held.fromMs()) / MS_PER_S);
            list.addProperty("late_s", record.lists().lateMs(now, held.group()) / MS_PER_S);
            lists.add(list);
        }
        o.add("lists", lists);
        o.addProperty("list_changes", record.lists().changes());
        if (file != null) {
            o.addProperty("lost_lines", file.lost());
        }
        o.addProperty("before", record.before());
        o.addProperty("flaw", Entry.flaw(record.before(), record.entries()));
        return o;
    }

    /** How each proxy of the fleet is, as far as this one knows: a line each. */
    public List<String> versions() {
        List<String> lines = new ArrayList<>();
        for (FleetView.Standing s : standings()) {
            String who = peers.isEmpty() ? record.name() : Addresses.text(peers.get(s.member()));
            lines.add(who + (s.member() == self || peers.isEmpty() ? " (this one): " : ": ") + s.why() + " " + s.words());
        }
        lines.add("highest file number known: " + view.head() + "; " + datagrams + " datagrams sent");
        return lines;
    }

    /** Counts for the console. */
    public Map<String, Long> figures() {
        long lag = view.standings(timers.now()).stream().filter(s -> s.behind() > 0).count();
        return Map.of("file_version", record.now().acting().file(), "proxies_behind", lag);
    }
}

package ridgemill.gateway.operator;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import ridgemill.gateway.Config;
import ridgemill.gateway.MultiLoopService;
import ridgemill.gateway.Service;
import ridgemill.gateway.audit.AuditService;
import ridgemill.gateway.control.ControlServer;
import ridgemill.gateway.front.resp.RespFrontend;
import ridgemill.gateway.datacenter.DatacenterForwarder;
import ridgemill.gateway.lease.LeaseService;
import ridgemill.gateway.lease.LeaseSettings;
import ridgemill.gateway.lease.SharedProber;
import ridgemill.gateway.membership.eureka.EurekaRegistration;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.LoopTimers;
import ridgemill.gateway.net.Transport;
import ridgemill.gateway.operator.OperatorConfig.Listener;
import ridgemill.gateway.rollout.RolloutService;
import ridgemill.gateway.succession.ServingProcessFile;
import ridgemill.idempotency.IdempotencyRecords;
import ridgemill.idempotency.InMemoryIdempotencyStore;
import ridgemill.limit.LoopShare;
import ridgemill.policy.Router.Settings;
import ridgemill.policy.Router;
import ridgemill.serviceclass.PlatformConstraints;
import ridgemill.version.EffectiveVersion;

/** A proxy that runs under an operator file, which may be read again while it serves. */
public final class Operated {

    private static final Gson JSON = new Gson();
    private static final String NO_ROLLS = "no rolls go through here: see [rollout]";
    private static final String NO_AUDIT = "nothing is kept of versions here: see [audit]";

    /**
     * What became of a file that was read again.
     *
     * @param taken whether it took effect
     * @param summary what it holds, or that it changes nothing
     * @param problems why it was not taken; empty if it was
     * @param notes what of it takes effect at the next start alone
     */
    public record Reload(boolean taken, String summary, List<Problem> problems, List<String> notes) { }

    private final String file;
    private final PlatformConstraints platform;
    private final Clock clock = new Clock();
    private final Config config;
    /** One for each loop; a single one where the file asks for no more. */
    private final List<Seat> seats = new ArrayList<>();
    /** Reloads take turns here, whoever asks for them: the loop must not wait for a disk or an address. */
    private final ExecutorService turns = Executors.newSingleThreadExecutor(run -> {
        Thread thread = new Thread(run, "operator-file");
        thread.setDaemon(true);
        return thread;
    });
    private OperatorConfig holds;
    private MultiLoopService crew;
    private SharedLimits shared;
    private ControlServer control;
    private EurekaRegistration registration;
    private DatacenterForwarder halls;
    private LeaseService leases;
    private AuditService audit;
    private String build;
    private SharedProber probing;
    private RolloutService rollout;
    private final RolledFile rolled;
    private long reloads;

    /** What one loop has: a proxy, and what the file makes of it. */
    private static final class Seat {
        final Service service;
        final OperatorGate gate;
        NodeGroups groups;
        RespFrontend resp;
        IdempotencyRecords outcomes;

        Seat(Service service, OperatorGate gate) {
            this.service = service;
            this.gate = gate;
        }

        /** Runs a task between two of the loop's requests; not to be called on it. */
        void between(Runnable task) {
            service.runOnLoop(task);
        }

        /** On the loop, as what follows. */
        void deadlines(DeadlineSettings next) {
            service.intake().deadlines().setPolicy(next.policy());
            service.setHttpClientPolicy(next.terms());
            if (resp != null) {
                resp.allowsHalfClose(next.terms().allowsHalfClose());
                resp.sendsReasons(next.terms().sendsReasons());
            }
        }

        /** A record that was begun goes on, whatever a later file says of its size: what it knows would be lost else. */
        void outcomes(OutcomeSettings next) {
            if (next != null && outcomes == null) {
                outcomes = new IdempotencyRecords(new InMemoryIdempotencyStore(next.most()), next.keepMs());
                service.enableIdempotencyRecords(outcomes);
            } else if (next != null) {
                outcomes.setRetentionMs(next.keepMs());
            }
        }

        void passwords(OperatorConfig config) {
            if (resp != null) {
                resp.passwords(config.passwords());
            }
        }
    }

    private Operated(String file, Config config, OperatorConfig operator) {
        this.file = file;
        this.config = config;
        this.holds = operator;
        this.platform = PlatformConstraints.of(config.settings());
        this.rolled = new RolledFile(file, platform, turns, this::take);
    }

    /** Reads the file and starts a proxy under it; a file with any problem, or that asks for several loops, starts nothing. */
    public static Operated start(Config config, String file, Router router)
            throws OperatorFileException, IOException, InterruptedException {
        return start(config, file, settings -> router);
    }

    /**
     * Reads the file and starts the proxy, or several of them in one process, under it; a file with any problem starts
     * nothing.
     *
     * @param routers makes the decisions of a loop from its settings; asked once for each
     */
    public static Operated start(Config config, String file, Function<Settings, Router> routers)
            throws OperatorFileException, IOException, InterruptedException {
        OperatorConfig operator = OperatorFile.read(file, PlatformConstraints.of(config.settings()));
        Operated operated = new Operated(file, config, operator);
        if (operator.audit() != null) {
            // Before anything listens, as it takes a while.
            operated.build = AuditService.buildId();
        }
        if (operator.process().loops() > 1) {
            operated.startCrew(routers);
        } else {
            OperatorGate gate = new OperatorGate(config.settings(), operator, operated.clock.now());
            Service.start(config, routers.apply(config.settings()), gate, service -> {
                operated.seats.add(new Seat(service, gate));
                if (operator.audit() != null) {
                    operated.beginAudit();
                }
            });
        }
        try {
            operated.begin();
        } catch (IOException e) {
            operated.kill();
            throw e;
        }
        return operated;
    }

    private void startCrew(Function<Settings, Router> routers) throws IOException, InterruptedException {
        int loops = holds.process().loops();
        List<OperatorGate> gates = new ArrayList<>();
        for (int i = 0; i < loops; i++) {
            gates.add(new OperatorGate(config.settings(), holds, clock.now(), new LoopShare(i, loops)));
        }
        crew = MultiLoopService.start(config, loops, routers, gates::get);
        for (int i = 0; i < loops; i++) {
            seats.add(new Seat(crew.members().get(i), gates.get(i)));
        }
        shared = new SharedLimits(crew.acceptorLoop(), clock, holds.limits(), seats.stream()
                .map(s -> new SharedLimits.Loop(s.service, s.gate)).toList());
        shared.start();
    }

    private void begin() throws IOException, InterruptedException {
        if (audit != null) {
            loop().execute(audit::start);
        }
        if (holds.leases() != null) {
            makeLeases();
        }
        for (Seat seat : seats) {
            seat.between(() -> {
                seat.groups = new NodeGroups(seat.service, config.settings(), config.seed(), clock, leases);
                seat.groups.take(holds.groups(), holds.eureka());
                seat.service.intake().updateClasses(seat.gate.classes());
                seat.service.clients().setIdleTimeoutMs(holds.process().idleMs());
                seat.deadlines(holds.deadlines());
                seat.outcomes(holds.outcomes());
            });
        }
        if (holds.halls() != null) {
            beginHalls();
        }
        if (leases != null) {
            String shared = holds.rollout() == null ? null : rolled.shared();
            service().runOnLoop(() -> {
                service().onFleetMessage(leases::datagramReceived);
                service().addMetrics(leases::metrics);
                probing(holds.leases());
                if (shared != null) {
                    beginRollout(shared);
                }
                leases.start();
            });
        }
        for (Listener l : holds.listeners()) {
            listen(l, holds);
        }
        if (holds.register() != null && holds.eureka() != null) {
            registration = new EurekaRegistration(loop(), holds.eureka(), holds.register());
            loop().execute(registration::start);
        }
        if (holds.control() != null) {
            control = ControlServer.listen(holds.control(), loop(), this::command);
        }
    }

    /** The loop of what the process has once. */
    private EventLoop loop() {
        return crew == null ? service().loop() : crew.acceptorLoop();
    }

    private void beginHalls() throws IOException, InterruptedException {
        // The file's checks let no halls through beside several loops.
        Service service = service();
        IOException[] failed = {null};
        service.runOnLoop(() -> {
            try {
                halls = new DatacenterForwarder(service.loop(), new LoopTimers(service.loop(), clock), service.intake(), holds.halls(),
                        service::throttleLevel, config.seed());
                service.onStopListening(halls::stop);
            } catch (IOException e) {
                failed[0] = e;
            }
        });
        if (failed[0] != null) {
            throw failed[0];
        }
        ChannelFuture bound = halls.listen();
        if (bound != null) {
            Service.awaitBound(bound, holds.halls().listen());
        }
    }

    /** As soon as there is a proxy, and before it takes clients: no request is without a version. */
    private void beginAudit() {
        // The file's checks let no record through beside several loops.
        Service service = service();
        service.runOnLoop(() -> {
            audit = new AuditService(service.loop(), new LoopTimers(service.loop(), clock), config, build, holds.version(), holds.digest(),
                    holds.audit().tellVersion(), service::sendToPeer);
            audit.keepTraces(holds.audit().requests());
            if (holds.audit().directory() != null) {
                audit.writeTo(holds.audit().directory(), holds.audit().fileBytes());
            }
            service.intake().setVersionTracker(audit.history());
            service.onFleetMessage(audit::datagramReceived);
            service.addMetrics(audit::metrics);
        });
    }

    private void makeLeases() throws IOException {
        if (config.peerListen() == null) {
            Log.info("leases: there are no peers to agree with, so none is held");
            return;
        }
        // The file's checks let no leases through beside several loops.
        Service service = service();
        leases = new LeaseService(service.loop(), new LoopTimers(service.loop(), clock), config.name(), config.peers(),
                config.settings().proxyIndex(), config.seed(), ServingProcessFile.sharedDirectory(), holds.leases(), service::sendToPeer);
        if (audit != null) {
            leases.setStatusListener(audit::leaseChanged);
        }
    }

    /** On the loop: takes part in rolls, and steps aside where it lags. */
    private void beginRollout(String shared) {
        Service service = service();
        rollout = new RolloutService(service.loop(), leases, audit, service.intake()::counters, holds.rollout(),
                config.peers().stream().map(LeaseSettings::memberId).toList(), config.settings().proxyIndex(), rolled);
        rollout.setInEffect(RolledFile.stamp(holds, shared), shared);
        seats.get(0).gate.aside(rollout::isOutOfService);
        service.clients().outOfServiceWhile(rollout::isOutOfService);
        service.ignorePeers(audit::isOutOfService);
        leases.ignoreLeaseMessagesFrom(audit::isOutOfService);
        service.addMetrics(rollout::metrics);
    }

    /** Begins to have one proxy ask spared nodes for all, or ends it; on the loop. */
    private void probing(LeaseSettings settings) {
        if (settings.sharedProbing() && probing == null) {
            probing = new SharedProber(leases, () -> {
                Map<String, Service.Group> groups = seats.get(0).groups.groups();
                groups.put("", service().platform());
                return groups;
            });
        } else if (!settings.sharedProbing() && probing != null) {
            probing.close();
            probing = null;
        }
    }

    /** The proxy, or the first of several. */
    public Service service() {
        return seats.get(0).service;
    }

    /** Where clients connect. */
    public InetSocketAddress listening() {
        return crew == null ? service().listenAddress() : crew.listenAddress();
    }

    /** What the process says of itself, over all loops; not to be called on a loop. */
    public Service.Status status() {
        return crew == null ? service().status() : crew.status();
    }

    /** Takes in the configuration's file as it is now, as {@link Service#reload} does. */
    public void reloadConfiguration(Map<String, String> environment) {
        if (crew == null) {
            service().reload(environment);
        } else {
            crew.reload(environment);
        }
    }

    /** The proxies of all loops, in their order. */
    public List<Service> services() {
        return seats.stream().map(s -> s.service).toList();
    }

    /** How each of several loops is, a line each; empty where one serves. Not to be called on a loop. */
    public List<String> loops() {
        return crew == null ? List.of() : crew.describeLoops();
    }

    /** Waits until the proxy has ended. */
    public void awaitEnd() throws InterruptedException {
        if (crew == null) {
            service().awaitEnd();
        } else {
            crew.awaitEnd();
        }
    }

    /** Ends at once, whatever is owed. */
    public void kill() {
        if (crew == null) {
            service().kill();
        } else {
            crew.kill();
        }
    }

    /** How other halls and the links to them are, a line each; empty where there are none. Not to be called on the loop. */
    public List<String> halls() {
        List<String> lines = new ArrayList<>();
        if (halls != null) {
            seats.get(0).between(() -> lines.addAll(halls.explain()));
        }
        return lines;
    }

    /** Opens a listener of a file that is to hold: whoever comes first is asked for that file's passwords already. */
    private void listen(Listener l, OperatorConfig config) throws IOException, InterruptedException {
        if (l.protocol().equals("http")) {
            if (crew == null) {
                service().listen(l.address());
            } else {
                crew.listen(l.address(), Service::httpListeners);
            }
            return;
        }
        for (Seat seat : seats) {
            seat.between(() -> {
                if (seat.resp == null) {
                    seat.resp = new RespFrontend(seat.service.loop(), seat.service.intake(), seat.service.clients());
                    seat.service.onStopListening(seat.resp::stopListening);
                    seat.resp.allowsHalfClose(config.deadlines().terms().allowsHalfClose());
                    seat.resp.sendsReasons(config.deadlines().terms().sendsReasons());
                    seat.passwords(config);
                }
            });
        }
        if (crew == null) {
            Service.awaitBound(seats.get(0).resp.listen(Transport.TCP, l.address()), l.address());
        } else {
            crew.listen(l.address(), member -> seatOf(member).resp.listeners());
        }
    }

    private Seat seatOf(Service member) {
        return seats.stream().filter(s -> s.service == member).findFirst().orElseThrow();
    }

    private void unlisten(Listener l) {
        if (crew != null) {
            crew.stopListeningAt(l.address());
        } else if (l.protocol().equals("http")) {
            service().stopListeningAt(l.address());
        } else {
            loop().execute(() -> seats.get(0).resp.stopListening(l.address()));
        }
    }

    /**
     * Ends the proxy once nothing is owed, and returns then: its clients' registry hears of it first, and its lease ends
     * last. Not to be called on the loop.
     */
    public void drain() {
        if (registration != null) {
            registration.outOfService();
        }
        if (halls != null) {
            loop().execute(halls::announceLeaving);
        }
        if (leases != null) {
            loop().execute(leases::releaseAll);
        }
        Runnable last = () -> {
            if (registration != null) {
                registration.cancel();
            }
            endAudit();
        };
        if (crew == null) {
            service().drainThen(last);
        } else {
            crew.drainThen(last);
        }
    }

    /** What was counted last goes to the file. */
    private void endAudit() {
        try {
            if (audit != null) {
                loop().submit(audit::writeCounts).sync();
                audit.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops to answer commands and to ask a registry; to be called when the proxy goes down, and not on the loop. */
    public void closeControl() {
        try {
            seats.forEach(s -> s.service.loop().execute(s.groups::close));
        } catch (RejectedExecutionException e) {
            Log.info("the proxy has ended before its registry was left");
        }
        if (control != null) {
            control.close();
        }
    }

    /**
     * Reads the file again. A good one takes effect between two requests, and one with any problem changes nothing; each
     * is said in the log and in what this returns. Not to be called on the loop.
     */
    public Reload reload() {
        return CompletableFuture.supplyAsync(this::reloadNow, turns).join();
    }

    private Reload reloadNow() {
        Reload result;
        try {
            OperatorConfig next = OperatorFile.read(file, platform);
            if (rollout != null && next.version() != holds.version()) {
                throw RolledFile.refused(file, "rolled", "version " + holds.version() + " holds in the fleet, and this file is version " + next.version(),
                        "take it through the fleet: ridgemill fleet roll");
            }
            result = take(next, () -> true, "reload");
            Log.info("operator file taken: " + result.summary());
            result.notes().forEach(n -> Log.info("operator file: " + n));
        } catch (OperatorFileException e) {
            result = new Reload(false, "the file that held goes on holding", e.problems(), List.of());
            if (audit != null) {
                long version = OperatorFile.versionOf(file);
                seats.get(0).between(() -> audit.fileRefused(version, String.valueOf(e.problems().get(0))));
            }
            e.problems().forEach(p -> Log.info("operator file not taken, the old one stays: " + p));
        }
        reloads++;
        return result;
    }

    /** Numbers only grow, and one number is one text: an old file that comes back, or a fork, is not taken. */
    private void checkVersion(OperatorConfig next) throws OperatorFileException {
        EffectiveVersion.Acceptance step = new EffectiveVersion("", "", holds.version(), holds.digest()).checkSuccessor(next.version(), next.digest());
        if (step != EffectiveVersion.Acceptance.ACCEPTED) {
            throw new OperatorFileException(List.of(new Problem(file, 0, 0, step == EffectiveVersion.Acceptance.OLDER ? "older-version" : "forked-version",
                    step == EffectiveVersion.Acceptance.OLDER ? "version " + next.version() + " is older than " + holds.version() + ", which holds"
                    : "version " + next.version() + " holds already, with another text", "go back, too, by a higher version")));
        }
    }

    /**
     * Has a file take effect; what throws changes nothing.
     *
     * @param may asked in the very turn of the loop in which it takes effect
     */
    private Reload take(OperatorConfig next, BooleanSupplier may, String cause) throws OperatorFileException {
        checkVersion(next);
        List<Listener> before = holds.listeners();
        List<Listener> opened = listen(next, before);
        OperatorFileException[] refused = {null};
        Seat first = seats.get(0);
        first.between(() -> {
            refused[0] = !may.getAsBoolean() ? RolledFile.refused(file, "too-late", "was to take effect before", "tell it again") : leasesFollow(next.leases());
            if (refused[0] == null) {
                take(first, next, cause);
            }
        });
        if (refused[0] != null) {
            opened.forEach(this::unlisten);
            throw refused[0];
        }
        for (Seat seat : seats.subList(1, seats.size())) {
            seat.between(() -> take(seat, next, cause));
        }
        if (shared != null) {
            shared.changeTo(next.limits());
        }
        before.stream().filter(l -> isMissing(l, next.listeners())).forEach(this::unlisten);
        List<String> notes = new ArrayList<>();
        if (holds.process().loops() != next.process().loops()) {
            notes.add("process.loops holds from the next start on");
        }
        if (!Objects.equals(holds.control(), next.control())) {
            notes.add("control.socket does not move while the proxy runs");
        }
        if (!Objects.equals(holds.register(), next.register())) {
            notes.add("eureka.register holds from the next start on");
        }
        if (!Objects.equals(holds.halls(), next.halls()) && (halls == null || !halls.hasSameFixedSettings(next.halls()))) {
            notes.add("halls: its name, listen and security hold from the next start on, and so does the section as a whole");
        }
        if (!Objects.equals(holds.audit(), next.audit())) {
            notes.add("audit holds from the next start on");
        }
        if (!Objects.equals(holds.rollout(), next.rollout())) {
            notes.add("rollout holds from the next start on");
        }
        if ((holds.leases() == null) != (next.leases() == null) || holds.leases() != null
                && !holds.leases().policy().equals(next.leases().policy())) {
            notes.add("leases: its times hold from the next start on, and so does the section as a whole");
        }
        if (holds.outcomes() != null && (next.outcomes() == null || next.outcomes().most() != holds.outcomes().most())) {
            notes.add("outcomes.most holds from the next start on, and so does a record that is taken out");
        }
        holds = next;
        return new Reload(true, summary(next), List.of(), notes);
    }

    /** First, as electorates that can't follow make the file one with a problem; null where they can. On the loop. */
    private OperatorFileException leasesFollow(LeaseSettings next) {
        if (leases == null || next == null) {
            return null;
        }
        try {
            leases.applySettings(next);
            probing(next);
            return null;
        } catch (IllegalArgumentException e) {
            return RolledFile.refused(file, "electorates", "leases: " + e.getMessage(), "raise leases.version by one with each change, and name those before");
        }
    }

    private void take(Seat seat, OperatorConfig next, String cause) {
        if (audit != null) {
            audit.fileChanged(next.version(), next.digest(), cause);
        }
        seat.groups.take(next.groups(), next.eureka());
        seat.gate.changeTo(next, clock.now());
        seat.service.intake().updateClasses(seat.gate.classes());
        // Those in line came under the old file and would be decided under the new one.
        seat.service.intake().rejectQueuedIf(seat.gate::isOutdated);
        seat.groups.drop(next.groups());
        seat.passwords(next);
        seat.service.clients().setIdleTimeoutMs(next.process().idleMs());
        seat.deadlines(next.deadlines());
        seat.outcomes(next.outcomes());
        if (halls != null && halls.hasSameFixedSettings(next.halls())) {
            halls.applySettings(next.halls());
        }
        seat.service.intake().limitsChanged();
    }

    private static boolean isMissing(Listener l, List<Listener> in) {
        return in.stream().noneMatch(o -> o.address().equals(l.address()) && o.protocol().equals(l.protocol()));
    }

    /** New addresses first: one that can't be had makes the file one with a problem, which changes nothing. */
    private List<Listener> listen(OperatorConfig next, List<Listener> before) throws OperatorFileException {
        List<Listener> opened = new ArrayList<>();
        for (Listener l : next.listeners()) {
            if (!isMissing(l, before)) {
                continue;
            }
            try {
                listen(l, next);
                opened.add(l);
            } catch (IOException | InterruptedException e) {
                opened.forEach(this::unlisten);
                throw new OperatorFileException(List.of(new Problem(file, 0, 0, "address-taken", "listener "
                        + l.name() + ": " + e.getMessage(), "free the address, or give another")));
            }
        }
        return opened;
    }

    private static String summary(OperatorConfig c) {
        return c.classes().size() + " classes, " + c.routes().routes().size() + " routes, " + c.groups().size()
                + " groups, " + c.listeners().size() + " listeners";
    }

    /** Carries out what an operator asks for at the control socket; called on the loop. */
    private CompletionStage<String> command(String line) {
        return switch (line) {
            case "reload" -> CompletableFuture.supplyAsync(() -> JSON.toJson(reloadNow()), turns);
            case "halls" -> CompletableFuture.supplyAsync(() -> linesJson("halls", halls()), turns);
            case "deadlines" -> CompletableFuture.supplyAsync(() -> linesJson("deadlines", deadlines()), turns);
            case "nodes" -> CompletableFuture.supplyAsync(() -> linesJson("nodes", nodes()), turns);
            case "status" -> CompletableFuture.supplyAsync(this::statusJson, turns);
            case "audit" -> CompletableFuture.completedFuture(auditJson(null));
            case "versions" -> CompletableFuture.completedFuture(linesJson("versions", audit == null ? List.of(NO_AUDIT) : audit.describeFleet()));
            case "leases" -> CompletableFuture.completedFuture(leasesJson());
            case "rolls" -> CompletableFuture.completedFuture(linesJson("rolls", rollout == null ? List.of(NO_ROLLS) : rollout.describe()));
            case "roll-back" -> CompletableFuture.completedFuture(said(rollout == null ? NO_ROLLS : rollout.rollBack()));
            default -> line.startsWith("roll ") ? CompletableFuture.supplyAsync(() -> roll(line.substring("roll ".length())), turns)
                    : CompletableFuture.completedFuture(line.startsWith("lease ") ? leaseCommand(line)
                    : line.startsWith("audit ") ? auditJson(line.substring("audit ".length()))
                    : "{\"done\":false,\"reason\":\"no such command: reload, status, nodes, halls, deadlines, leases, lease, audit, versions, roll, rolls, roll-back\"}");
        };
    }

    /** Which nodes of the file's groups are in, why, since when and told by whom, a line each; not on the loop. */
    public List<String> nodes() {
        List<String> lines = new ArrayList<>();
        Seat first = seats.get(0);
        first.between(() -> lines.addAll(first.groups.explain()));
        return lines;
    }

    /** What was dropped where for want of time, what is kept for each hop, and the record of outcomes; not on the loop. */
    public List<String> deadlines() {
        List<String> lines = new ArrayList<>();
        for (Seat seat : seats) {
            seat.between(() -> {
                seat.service.intake().deadlines().metrics().forEach((name, value) -> lines.add(name + "=" + value));
                if (seat.outcomes != null) {
                    lines.add(seat.outcomes.summary());
                }
            });
        }
        return lines;
    }

    /** Of one request, or of all that is kept where that is null; on the loop. */
    private String auditJson(String request) {
        if (audit != null) {
            return JSON.toJson(request == null ? audit.auditJson() : audit.requestJson(request));
        }
        JsonObject o = new JsonObject();
        o.addProperty("reason", NO_AUDIT);
        return JSON.toJson(o);
    }

    /** On the loop. */
    private String leasesJson() {
        JsonObject o = new JsonObject();
        List<String> lines = new ArrayList<>(leases == null ? List.of("there are no leases here: see [leases]") : leases.describe());
        if (probing != null) {
            lines.addAll(probing.explain());
        }
        o.add("leases", JSON.toJsonTree(lines));
        o.add("standing", JSON.toJsonTree(leases == null ? List.of() : leases.statuses()));
        return JSON.toJson(o);
    }

    /** On the loop. */
    private String leaseCommand(String line) {
        return said(leases == null ? "there are no leases here: see [leases]" : leases.command(List.of(line.split(" ")).subList(1, line.split(" ").length)));
    }

    private static String said(String words) {
        JsonObject o = new JsonObject();
        o.addProperty("said", words);
        return JSON.toJson(o);
    }

    /** Begins to take a file through the fleet; not on the loop. */
    private String roll(String path) {
        if (rollout == null) {
            return said(NO_ROLLS);
        }
        try {
            String[] words = {null};
            seats.get(0).between(() -> words[0] = rollout.textInEffect());
            RolledFile.Wanted wanted = rolled.wanted(path, words[0]);
            seats.get(0).between(() -> words[0] = rollout.begin(wanted.target(), wanted.targetText(), wanted.back(), wanted.backText()));
            return said(words[0]);
        } catch (OperatorFileException e) {
            return said("no: " + e.getMessage());
        }
    }

    private static String linesJson(String name, List<String> lines) {
        JsonObject o = new JsonObject();
        o.add(name, JSON.toJsonTree(lines));
        return JSON.toJson(o);
    }

    private String statusJson() {
        JsonObject o = JSON.toJsonTree(status()).getAsJsonObject();
        o.addProperty("file", file);
        o.addProperty("holds", summary(holds));
        o.addProperty("reloads", reloads);
        int[] counted = new int[2];
        for (Seat seat : seats) {
            seat.between(() -> {
                counted[0] += seat.gate.inFlight();
                counted[1] += seat.gate.inLine();
            });
        }
        o.addProperty("inFlight", counted[0]);
        o.addProperty("inLine", counted[1]);
        if (crew != null) {
            o.add("loops", JSON.toJsonTree(loops()));
        }
        return JSON.toJson(o);
    }
}

package ridgemill.gateway.operator;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import ridgemill.classes.PlatformFacts;
import ridgemill.gateway.Config;
import ridgemill.gateway.Service;
import ridgemill.gateway.control.ControlServer;
import ridgemill.gateway.front.resp.RespFront;
import ridgemill.gateway.halls.HallCrossings;
import ridgemill.gateway.membership.eureka.EurekaRegistration;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.LoopTimers;
import ridgemill.gateway.net.Transport;
import ridgemill.gateway.operator.OperatorConfig.Listener;
import ridgemill.policy.Router;

/** A proxy that runs under an operator file, which may be read again while it serves. */
public final class Operated {

    private static final Gson JSON = new Gson();

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
    private final PlatformFacts platform;
    private final Clock clock = new Clock();
    private final OperatorGate gate;
    private final Config config;
    /** Reloads take turns here, whoever asks for them: the loop must not wait for a disk or an address. */
    private final ExecutorService turns = Executors.newSingleThreadExecutor(run -> {
        Thread thread = new Thread(run, "operator-file");
        thread.setDaemon(true);
        return thread;
    });
    private OperatorConfig holds;
    private Service service;
    private NodeGroups groups;
    private ControlServer control;
    private RespFront resp;
    private EurekaRegistration registration;
    private HallCrossings halls;
    private long reloads;

    private Operated(String file, Config config, OperatorConfig operator) {
        this.file = file;
        this.config = config;
        this.holds = operator;
        this.platform = PlatformFacts.of(config.settings());
        this.gate = new OperatorGate(config.settings(), operator, clock.now());
    }

    /** Reads the file and starts a proxy under it; a file with any problem starts nothing. */
    public static Operated start(Config config, String file, Router router)
            throws OperatorFileException, IOException, InterruptedException {
        Operated operated = new Operated(file, config, OperatorFile.read(file, PlatformFacts.of(config.settings())));
        operated.service = Service.start(config, router, operated.gate);
        try {
            operated.begin();
        } catch (IOException e) {
            operated.service.kill();
            throw e;
        }
        return operated;
    }

    private void begin() throws IOException, InterruptedException {
        service.between(() -> {
            groups = new NodeGroups(service, config.settings(), config.seed(), clock);
            groups.take(holds.groups(), holds.eureka());
            service.intake().classes(gate.classes());
        });
        if (holds.halls() != null) {
            beginHalls();
        }
        for (Listener l : holds.listeners()) {
            listen(l, holds);
        }
        if (holds.register() != null && holds.eureka() != null) {
            registration = new EurekaRegistration(service.loop(), holds.eureka(), holds.register());
            service.loop().execute(registration::start);
        }
        if (holds.control() != null) {
            control = ControlServer.listen(holds.control(), service.loop(), this::command);
        }
    }

    private void beginHalls() throws IOException, InterruptedException {
        IOException[] failed = {null};
        service.between(() -> {
            try {
                halls = new HallCrossings(service.loop(), new LoopTimers(service.loop(), clock), service.intake(), holds.halls(),
                        service::level, config.seed());
                service.onStop(halls::stop);
            } catch (IOException e) {
                failed[0] = e;
            }
        });
        if (failed[0] != null) {
            throw failed[0];
        }
        ChannelFuture bound = halls.listen();
        if (bound != null) {
            Service.bound(bound, holds.halls().listen());
        }
    }

    public Service service() {
        return service;
    }

    /** How other halls and the links to them are, a line each; empty where there are none. Not to be called on the loop. */
    public List<String> halls() {
        List<String> lines = new ArrayList<>();
        if (halls != null) {
            service.between(() -> lines.addAll(halls.explain()));
        }
        return lines;
    }

    /** Opens a listener of a file that is to hold: whoever comes first is asked for that file's passwords already. */
    private void listen(Listener l, OperatorConfig config) throws IOException, InterruptedException {
        if (l.protocol().equals("http")) {
            service.listen(l.address());
            return;
        }
        service.between(() -> {
            if (resp == null) {
                resp = new RespFront(service.loop(), service.intake(), service.clients());
                service.onStop(resp::stop);
                passwords(config);
            }
        });
        Service.bound(resp.listen(Transport.TCP, l.address()), l.address());
    }

    private void unlisten(Listener l) {
        if (l.protocol().equals("http")) {
            service.unlisten(l.address());
        } else {
            service.loop().execute(() -> resp.unlisten(l.address()));
        }
    }

    private void passwords(OperatorConfig config) {
        if (resp != null) {
            resp.passwords(config.passwords());
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
            service.loop().execute(halls::leave);
        }
        service.drainThen(() -> {
            if (registration != null) {
                registration.cancel();
            }
        });
    }

    /** Stops to answer commands and to ask a registry; to be called when the proxy goes down, and not on the loop. */
    public void closeControl() {
        try {
            service.loop().execute(groups::close);
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
            result = take(OperatorFile.read(file, platform));
            Log.info("operator file taken: " + result.summary());
            result.notes().forEach(n -> Log.info("operator file: " + n));
        } catch (OperatorFileException e) {
            result = new Reload(false, "the file that held goes on holding", e.problems(), List.of());
            e.problems().forEach(p -> Log.info("operator file not taken, the old one stays: " + p));
        }
        reloads++;
        return result;
    }

    private Reload take(OperatorConfig next) throws OperatorFileException {
        List<Listener> before = holds.listeners();
        listen(next, before);
        service.between(() -> {
            double now = clock.now();
            groups.take(next.groups(), next.eureka());
            gate.changeTo(next, now);
            service.intake().classes(gate.classes());
            // Those in line came under the old file and would be decided under the new one.
            service.intake().turnAwayIf(gate::isOutdated);
            groups.drop(next.groups());
            passwords(next);
            if (halls != null && halls.isFixedIn(next.halls())) {
                halls.changeTo(next.halls());
            }
            service.intake().limitsChanged();
        });
        before.stream().filter(l -> isMissing(l, next.listeners())).forEach(this::unlisten);
        List<String> notes = new ArrayList<>();
        if (!Objects.equals(holds.control(), next.control())) {
            notes.add("control.socket does not move while the proxy runs");
        }
        if (!Objects.equals(holds.register(), next.register())) {
            notes.add("eureka.register holds from the next start on");
        }
        if (!Objects.equals(holds.halls(), next.halls()) && (halls == null || !halls.isFixedIn(next.halls()))) {
            notes.add("halls: its name, listen and security hold from the next start on, and so does the section as a whole");
        }
        holds = next;
        return new Reload(true, summary(next), List.of(), notes);
    }

    private static boolean isMissing(Listener l, List<Listener> in) {
        return in.stream().noneMatch(o -> o.address().equals(l.address()) && o.protocol().equals(l.protocol()));
    }

    /** New addresses first: one that can't be had makes the file one with a problem, which changes nothing. */
    private void listen(OperatorConfig next, List<Listener> before) throws OperatorFileException {
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
            case "nodes" -> CompletableFuture.supplyAsync(() -> linesJson("nodes", nodes()), turns);
            case "status" -> CompletableFuture.supplyAsync(this::status, turns);
            default -> CompletableFuture.completedFuture("{\"done\":false,\"reason\":\"no such command: reload, status, nodes, halls\"}");
        };
    }

    /** Which nodes of the file's groups are in, why, since when and told by whom, a line each; not on the loop. */
    public List<String> nodes() {
        List<String> lines = new ArrayList<>();
        service.between(() -> lines.addAll(groups.explain()));
        return lines;
    }

    private static String linesJson(String name, List<String> lines) {
        JsonObject o = new JsonObject();
        o.add(name, JSON.toJsonTree(lines));
        return JSON.toJson(o);
    }

    private String status() {
        JsonObject o = JSON.toJsonTree(service.status()).getAsJsonObject();
        o.addProperty("file", file);
        o.addProperty("holds", summary(holds));
        o.addProperty("reloads", reloads);
        service.between(() -> {
            o.addProperty("inFlight", gate.inFlight());
            o.addProperty("inLine", gate.inLine());
        });
        return JSON.toJson(o);
    }
}

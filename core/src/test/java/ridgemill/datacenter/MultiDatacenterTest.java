package ridgemill.datacenter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ridgemill.datacenter.DatacenterRouter.ForwardOutcome;
import ridgemill.datacenter.DatacenterRouter.HomeOutcome;
import ridgemill.datacenter.DatacenterRouter.Step;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.DeduplicationScope;
import ridgemill.policy.Router.ServiceClass;

/**
 * Simulates several datacenters, each connected to all others, on simulated time: gateways restart, stores fail and
 * recover, links lose or delay messages and are cut in one direction, and clients retry at any datacenter. The test
 * guards against writes that run twice, requests that enter a datacenter twice, and requests that are not answered. It
 * checks what the nodes did, not what the gateways recorded.
 */
class MultiDatacenterTest {

    private static final double WINDOW_MS = 6000;
    private static final double DEADLINE_MS = 1000;
    private static final double RUN_MS = 120_000;
    private static final ServiceClass READ = service("reading", Effect.SAFE);
    private static final ServiceClass CREDIT = service("credit", Effect.KEYED);
    private static final ServiceClass UNSAFE = service("once", Effect.UNSAFE);

    private static ServiceClass service(String name, Effect effect) {
        return new ServiceClass(name, 500, 0, DEADLINE_MS, 1, 0, effect, DeduplicationScope.ALL,
                effect == Effect.KEYED ? WINDOW_MS : 0, false);
    }

    private record Event(double atMs, long order, Runnable task) { }

    /** The result that one datacenter reports to another or to a client. */
    private enum Result { SERVED, REFUSED, UNPROVEN, FAILED }

    private final class Datacenter {
        final String name;
        final Map<String, Double> keyTimes = new HashMap<>();
        boolean storeUp = true;
        boolean nodesAnswer = true;

        Datacenter(String name) {
            this.name = name;
        }
    }

    private final class Gateway {
        final Datacenter datacenter;
        final String name;
        DatacenterRouter router;
        int epoch;

        Gateway(Datacenter datacenter, String name) {
            this.datacenter = datacenter;
            this.name = name;
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.atMs() != b.atMs()
            ? Double.compare(a.atMs(), b.atMs()) : Long.compare(a.order(), b.order()));
    private final Map<String, Gateway> gateways = new HashMap<>();
    private final List<Datacenter> datacenters = new ArrayList<>();
    private final Map<String, Double> cutUntil = new HashMap<>();
    private final Map<String, Double> slowUntil = new HashMap<>();
    private final Map<String, Integer> runsByKey = new HashMap<>();
    private final Map<String, Set<String>> visited = new HashMap<>();
    private final Map<String, Integer> running = new HashMap<>();
    private final Set<String> executed = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private SplittableRandom random;
    private double now;
    private long order;
    private int answered;
    private int served;
    private int forwarded;

    private void at(double ms, Runnable task) {
        events.add(new Event(ms, order++, task));
    }

    private DatacenterPolicy policy(Datacenter datacenter, int gatewaysEach) {
        Map<String, List<String>> others = new java.util.LinkedHashMap<>();
        for (Datacenter h : datacenters) {
            if (h != datacenter) {
                List<String> names = new ArrayList<>();
                for (int i = 0; i < gatewaysEach; i++) {
                    names.add(h.name + i);
                }
                others.put(h.name, names);
            }
        }
        return new DatacenterPolicy(datacenter.name, others, Set.of(), Set.of(), 1000, 50, 50, datacenters.size(),
                30_000);
    }

    private void startGateway(Gateway g, int gatewaysEach) {
        g.epoch++;
        g.router = new DatacenterRouter(policy(g.datacenter, gatewaysEach), now);
    }

    @ParameterizedTest
    @CsvSource({"2,1", "2,2", "2,3", "2,4", "3,5", "3,6", "3,7", "3,8", "4,9", "4,150", "4,162", "3,101"})
    void noWriteRunsTwiceNoDatacenterIsEnteredTwiceAndEveryRequestIsAnswered(int count, long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < count; i++) {
            datacenters.add(new Datacenter("h" + i));
        }
        for (Datacenter h : datacenters) {
            for (int j = 0; j < 2; j++) {
                Gateway g = new Gateway(h, h.name + j);
                gateways.put(g.name, g);
                startGateway(g, 2);
            }
        }
        List<Gateway> all = List.copyOf(gateways.values());
        reportLinkStates(all);
        for (double t = 100; t < RUN_MS; t += 5 + random.nextInt(20)) {
            at(t, () -> startClient(all));
        }
        for (double t = 5000; t < RUN_MS; t += 500 + random.nextInt(3000)) {
            at(t, () -> injectFault(all));
        }
        long steps = 0;
        while (!events.isEmpty()) {
            Event e = events.remove();
            now = e.atMs();
            e.task().run();
            steps++;
            assertTrue(steps < 10_000_000, "the simulation does not end");
        }
        runsByKey.forEach((key, times) -> {
            if (times > 1) {
                violations.add(key + " recorded " + times + " times");
            }
        });
        assertEquals(List.of(), violations.stream().limit(10).toList(), "seed " + seed);
        assertTrue(forwarded > 100, forwarded + " forwarded");
        assertTrue(served > answered / 3, served + " served of " + answered);
    }

    /** Reports the states of links as heartbeats would, with a delay. */
    private void reportLinkStates(List<Gateway> all) {
        for (Gateway g : all) {
            for (String other : g.router.policy().allGateways()) {
                double cutUntilMs = cutUntil.getOrDefault(g.name + other, 0.0);
                boolean cut = cutUntilMs > now || cutUntil.getOrDefault(other + g.name, 0.0) > now;
                boolean slow = slowUntil.getOrDefault(g.name + other, 0.0) > now
                        || slowUntil.getOrDefault(other + g.name, 0.0) > now;
                g.router.linkStateChanged(other, cut ? LinkHealth.State.DEAD : slow ? LinkHealth.State.STALLED
                        : LinkHealth.State.UP, 10);
                g.router.gatewayStateReceived(now, other, gateways.get(other).router.gatewayState(0, false));
            }
        }
        if (now < RUN_MS + 20_000) {
            at(now + 300, () -> reportLinkStates(all));
        }
    }

    private void injectFault(List<Gateway> all) {
        Datacenter h = datacenters.get(random.nextInt(datacenters.size()));
        Gateway a = all.get(random.nextInt(all.size()));
        Gateway b = all.get(random.nextInt(all.size()));
        switch (random.nextInt(7)) {
            case 0 -> h.storeUp = !h.storeUp;
            case 1 -> h.nodesAnswer = !h.nodesAnswer;
            case 2 -> cutUntil.put(a.name + b.name, now + random.nextInt(4000));
            case 3 -> slowUntil.put(a.name + b.name, now + random.nextInt(10_000));
            case 4 -> startGateway(a, 2);
            default -> {
                h.storeUp = true;
                h.nodesAnswer = true;
            }
        }
    }

    /** Sends a message, which is lost, late or arrives after a few milliseconds. */
    private void send(Gateway from, Gateway to, Runnable arrives) {
        double cut = cutUntil.getOrDefault(from.name + to.name, 0.0);
        if (cut > now || random.nextInt(200) == 0) {
            return;
        }
        at(Math.max(now, slowUntil.getOrDefault(from.name + to.name, 0.0)) + 1 + random.nextInt(10), arrives);
    }

    // Clients.

    private void startClient(List<Gateway> all) {
        int type = random.nextInt(3);
        ServiceClass service = type == 0 ? READ : type == 1 ? CREDIT : UNSAFE;
        String operation = "w" + order++;
        sendRequest(all, service, operation, 0, now, all.get(random.nextInt(all.size())));
    }

    private void sendRequest(List<Gateway> all, ServiceClass service, String operation, int tries, double firstMs,
                             Gateway at) {
        String id = operation + "-" + tries;
        RoutedRequest p = new RoutedRequest(id, service, service == CREDIT ? operation : null, tries > 0,
                DatacenterPath.LOCAL, now + DEADLINE_MS);
        int epoch = at.epoch;
        double sent = now;
        boolean[] done = {false};
        enterGateway(at, p, end -> {
            if (done[0] || at.epoch != epoch) {
                return;
            }
            done[0] = true;
            answered++;
            served += end == Result.SERVED ? 1 : 0;
            if (now > sent + DEADLINE_MS + 0.001) {
                violations.add(id + " was answered late");
            }
            if (end == Result.REFUSED) {
                // A refusal promises that the request never runs.
                if (executed.contains(id)) {
                    violations.add(id + " was refused and had run");
                }
                executed.remove(id);
                visited.computeIfAbsent(id, i -> new HashSet<>()).add("promised");
            }
            if (end != Result.SERVED && tries < 3 && service != UNSAFE && now - firstMs < WINDOW_MS - 2 * DEADLINE_MS) {
                at(now + 20 + random.nextInt(800), () -> sendRequest(all, service, operation, tries + 1, firstMs,
                        all.get(random.nextInt(all.size()))));
            }
        });
        at(now + DEADLINE_MS + 1, () -> {
            if (!done[0] && at.epoch == epoch) {
                violations.add(id + " was not answered");
            }
            // A client whose gateway has restarted retries like any other.
            if (!done[0] && at.epoch != epoch && tries < 3 && service != UNSAFE
                    && now - firstMs < WINDOW_MS - 2 * DEADLINE_MS) {
                sendRequest(all, service, operation, tries + 1, firstMs, all.get(random.nextInt(all.size())));
            }
        });
    }

    // Datacenters.

    /** A request enters a gateway, which answers it once. */
    private void enterGateway(Gateway at, RoutedRequest p, Consumer<Result> answer) {
        int epoch = at.epoch;
        executeStep(at, p, at.router.requestArrived(now, p), Result.REFUSED, end -> {
            if (at.epoch == epoch) {
                at.router.requestFinished(p);
                answer.accept(end);
            }
        });
    }

    private void executeStep(Gateway at, RoutedRequest p, Step step, Result home, Consumer<Result> answer) {
        if (step instanceof DatacenterRouter.TryHome h) {
            runAtHome(at, p, h.reserveMs(), answer);
        } else if (step instanceof DatacenterRouter.Forward a) {
            forward(at, p, a, home, answer);
        } else if (step instanceof DatacenterRouter.QueryKey a) {
            queryKey(at, p, a, answer);
        } else if (step instanceof DatacenterRouter.Refuse r) {
            answer.accept(r.provenNotRun() ? Result.REFUSED : Result.UNPROVEN);
        } else if (step instanceof DatacenterRouter.Fail) {
            answer.accept(Result.FAILED);
        } else {
            answer.accept(home);
        }
    }

    private void runAtHome(Gateway at, RoutedRequest p, double reserve, Consumer<Result> answer) {
        Datacenter h = at.datacenter;
        Set<String> visits = visited.computeIfAbsent(p.id(), i -> new HashSet<>());
        if (!visits.add(h.name)) {
            violations.add(p.id() + " ran twice in " + h.name);
        }
        if (visits.contains("promised")) {
            violations.add(p.id() + " was sent to nodes after a refusal that promised that nothing ran");
        }
        if (running.merge(p.id(), 1, Integer::sum) > 1) {
            violations.add(p.id() + " has two attempts in progress at once");
        }
        double left = p.deadlineMs() - now - reserve;
        int epoch = at.epoch;
        boolean hit = p.service() == READ && random.nextInt(2) == 0;
        HomeOutcome end;
        Result result;
        double durationMs;
        if (hit || h.storeUp && h.nodesAnswer) {
            durationMs = Math.min(left, 2 + random.nextInt(40));
            execute(h, p);
            end = HomeOutcome.SERVED;
            result = Result.SERVED;
        } else if (!h.storeUp) {
            durationMs = Math.min(left, 1 + random.nextInt(20));
            end = HomeOutcome.REFUSED;
            result = Result.REFUSED;
        } else {
            // The request may run without an answer.
            durationMs = Math.min(left, 400);
            if (random.nextBoolean()) {
                execute(h, p);
            }
            end = p.service() == UNSAFE || p.service() == CREDIT && random.nextBoolean() ? HomeOutcome.FAILED
                    : HomeOutcome.UNPROVEN;
            result = end == HomeOutcome.FAILED ? Result.FAILED : Result.UNPROVEN;
        }
        at(now + Math.max(0, durationMs), () -> {
            running.merge(p.id(), -1, Integer::sum);
            if (at.epoch == epoch) {
                executeStep(at, p, at.router.homeEnded(now, p, end, true), result, answer);
            }
        });
    }

    private void execute(Datacenter h, RoutedRequest p) {
        executed.add(p.id());
        if (p.idempotencyKey() != null) {
            Double known = h.keyTimes.get(p.idempotencyKey());
            if (known == null || now - known >= WINDOW_MS) {
                h.keyTimes.put(p.idempotencyKey(), now);
                runsByKey.merge(p.idempotencyKey(), 1, Integer::sum);
            }
        } else if (p.service() == UNSAFE) {
            runsByKey.merge(p.id(), 1, Integer::sum);
        }
    }

    private void forward(Gateway from, RoutedRequest p, DatacenterRouter.Forward a, Result home,
                         Consumer<Result> answer) {
        forwarded++;
        Gateway to = gateways.get(a.gateway());
        int epoch = from.epoch;
        double untilMs = now + a.timeoutMs();
        boolean[] finished = {false};
        Set<String> beyond = new HashSet<>();
        Consumer<ForwardOutcome> ended = end -> {
            if (!finished[0] && from.epoch == epoch) {
                finished[0] = true;
                Step next = from.router.forwardEnded(now, p, end, 0, beyond);
                executeStep(from, p, next, end == ForwardOutcome.SERVED ? Result.SERVED : home, answer);
            }
        };
        at(untilMs, () -> ended.accept(ForwardOutcome.LOST));
        send(from, to, () -> {
            if (untilMs - now <= 0) {
                // It was too old on arrival, as the receiver measures by the transit delay.
                send(to, from, () -> ended.accept(ForwardOutcome.REFUSED));
                return;
            }
            RoutedRequest remote = new RoutedRequest(p.id(), p.service(), p.idempotencyKey(), p.isRetry(),
                    p.forwardedPath(from.datacenter.name), untilMs);
            enterGateway(to, remote, end -> send(to, from, () -> {
                beyond.addAll(remote.enteredDatacenters());
                ended.accept(switch (end) {
                    case SERVED -> ForwardOutcome.SERVED;
                    case REFUSED -> ForwardOutcome.REFUSED;
                    default -> remote.mayBeInProgress() ? ForwardOutcome.LOST : ForwardOutcome.FAILED;
                });
            }));
        });
    }

    private void queryKey(Gateway at, RoutedRequest p, DatacenterRouter.QueryKey a, Consumer<Result> answer) {
        Map<String, DatacenterRouter.KeyStatus> statuses = new HashMap<>();
        boolean[] finished = {false};
        int epoch = at.epoch;
        Runnable done = () -> {
            if (!finished[0] && at.epoch == epoch) {
                finished[0] = true;
                executeStep(at, p, at.router.keyStatusesReceived(now, p, a.gateways(), statuses), Result.REFUSED,
                        answer);
            }
        };
        at(now + a.timeoutMs(), done);
        for (String g : a.gateways()) {
            Gateway other = gateways.get(g);
            send(at, other, () -> {
                DatacenterRouter.KeyStatus status = other.router.answerKeyQuery(now, p.idempotencyKey(),
                        at.datacenter.name, WINDOW_MS);
                send(other, at, () -> {
                    statuses.put(g, status);
                    if (statuses.size() == a.gateways().size()) {
                        done.run();
                    }
                });
            });
        }
    }
}

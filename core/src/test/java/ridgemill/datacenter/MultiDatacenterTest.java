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
 * Halls in a ring on passed-in time, with gateways that restart, stores that go and come, links that lose, stall and are
 * cut one way, and clients that ask again at any hall. What happened is read from what the nodes did, not from what any
 * hall believes.
 */
class MultiDatacenterTest {

    private static final double WINDOW_MS = 6000;
    private static final double DEADLINE_MS = 1000;
    private static final double RUN_MS = 120_000;
    private static final ServiceClass READ = service("reading", Effect.SAFE);
    private static final ServiceClass CREDIT = service("credit", Effect.KEYED);
    private static final ServiceClass ONCE = service("once", Effect.UNSAFE);

    private static ServiceClass service(String name, Effect effect) {
        return new ServiceClass(name, 500, 0, DEADLINE_MS, 1, 0, effect, DeduplicationScope.ALL, effect == Effect.KEYED ? WINDOW_MS : 0, false);
    }

    private record Event(double atMs, long order, Runnable task) { }

    /** The answer of one hall to another, or to a client. */
    private enum Final { SERVED, REFUSED, UNPROVEN, FAILED }

    private final class Hall {
        final String name;
        final Map<String, Double> remembered = new HashMap<>();
        boolean storeUp = true;
        boolean answers = true;

        Hall(String name) {
            this.name = name;
        }
    }

    private final class Gate {
        final Hall hall;
        final String name;
        DatacenterRouter module;
        int epoch;

        Gate(Hall hall, String name) {
            this.hall = hall;
            this.name = name;
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.atMs() != b.atMs() ? Double.compare(a.atMs(), b.atMs())
            : Long.compare(a.order(), b.order()));
    private final Map<String, Gate> gates = new HashMap<>();
    private final List<Hall> halls = new ArrayList<>();
    private final Map<String, Double> cutUntil = new HashMap<>();
    private final Map<String, Double> slowUntil = new HashMap<>();
    private final Map<String, Integer> recorded = new HashMap<>();
    private final Map<String, Set<String>> entered = new HashMap<>();
    private final Map<String, Integer> running = new HashMap<>();
    private final Set<String> ran = new HashSet<>();
    private final List<String> broken = new ArrayList<>();
    private SplittableRandom random;
    private double now;
    private long order;
    private int answered;
    private int served;
    private int crossed;

    private void at(double ms, Runnable task) {
        events.add(new Event(ms, order++, task));
    }

    private DatacenterPolicy policy(Hall of, int each) {
        Map<String, List<String>> others = new java.util.LinkedHashMap<>();
        for (Hall h : halls) {
            if (h != of) {
                List<String> names = new ArrayList<>();
                for (int i = 0; i < each; i++) {
                    names.add(h.name + i);
                }
                others.put(h.name, names);
            }
        }
        return new DatacenterPolicy(of.name, others, Set.of(), Set.of(), 1000, 50, 50, halls.size(), 30_000);
    }

    private void start(Gate g, int each) {
        g.epoch++;
        g.module = new DatacenterRouter(policy(g.hall, each), now);
    }

    @ParameterizedTest
    @CsvSource({"2,1", "2,2", "2,3", "2,4", "3,5", "3,6", "3,7", "3,8", "4,9", "4,150", "4,162", "3,101"})
    void noCreditIsDoubledNoHallIsEnteredTwiceAndNothingIsLost(int count, long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < count; i++) {
            halls.add(new Hall("h" + i));
        }
        for (Hall h : halls) {
            for (int j = 0; j < 2; j++) {
                Gate g = new Gate(h, h.name + j);
                gates.put(g.name, g);
                start(g, 2);
            }
        }
        List<Gate> all = List.copyOf(gates.values());
        beat(all);
        for (double t = 100; t < RUN_MS; t += 5 + random.nextInt(20)) {
            at(t, () -> client(all));
        }
        for (double t = 5000; t < RUN_MS; t += 500 + random.nextInt(3000)) {
            at(t, () -> fault(all));
        }
        long asked = 0;
        while (!events.isEmpty()) {
            Event e = events.remove();
            now = e.atMs();
            e.task().run();
            asked++;
            assertTrue(asked < 10_000_000, "it never ends");
        }
        recorded.forEach((key, times) -> {
            if (times > 1) {
                broken.add(key + " recorded " + times + " times");
            }
        });
        assertEquals(List.of(), broken.stream().limit(10).toList(), "seed " + seed);
        assertTrue(crossed > 100, crossed + " crossed");
        assertTrue(served > answered / 3, served + " served of " + answered);
    }

    /** Links' states are told as a pulse would, late. */
    private void beat(List<Gate> all) {
        for (Gate g : all) {
            for (String other : g.module.policy().allGateways()) {
                double since = cutUntil.getOrDefault(g.name + other, 0.0);
                boolean cut = since > now || cutUntil.getOrDefault(other + g.name, 0.0) > now;
                boolean slow = slowUntil.getOrDefault(g.name + other, 0.0) > now || slowUntil.getOrDefault(other + g.name, 0.0) > now;
                g.module.linkStateChanged(other, cut ? LinkHealth.State.DEAD : slow ? LinkHealth.State.STALLED : LinkHealth.State.UP, 10);
                g.module.gatewayStateReceived(now, other, gates.get(other).module.gatewayState(0, false));
            }
        }
        if (now < RUN_MS + 20_000) {
            at(now + 300, () -> beat(all));
        }
    }

    private void fault(List<Gate> all) {
        Hall h = halls.get(random.nextInt(halls.size()));
        Gate a = all.get(random.nextInt(all.size()));
        Gate b = all.get(random.nextInt(all.size()));
        switch (random.nextInt(7)) {
            case 0 -> h.storeUp = !h.storeUp;
            case 1 -> h.answers = !h.answers;
            case 2 -> cutUntil.put(a.name + b.name, now + random.nextInt(4000));
            case 3 -> slowUntil.put(a.name + b.name, now + random.nextInt(10_000));
            case 4 -> start(a, 2);
            default -> {
                h.storeUp = true;
                h.answers = true;
            }
        }
    }

    /** A message on the way: lost, late, or there after a few milliseconds. */
    private void send(Gate from, Gate to, Runnable arrives) {
        double cut = cutUntil.getOrDefault(from.name + to.name, 0.0);
        if (cut > now || random.nextInt(200) == 0) {
            return;
        }
        at(Math.max(now, slowUntil.getOrDefault(from.name + to.name, 0.0)) + 1 + random.nextInt(10), arrives);
    }

    // Clients.

    private void client(List<Gate> all) {
        int kind = random.nextInt(3);
        ServiceClass service = kind == 0 ? READ : kind == 1 ? CREDIT : ONCE;
        String wish = "w" + order++;
        ask(all, service, wish, 0, now, all.get(random.nextInt(all.size())));
    }

    private void ask(List<Gate> all, ServiceClass service, String wish, int tries, double firstMs, Gate at) {
        String id = wish + "-" + tries;
        RoutedRequest p = new RoutedRequest(id, service, service == CREDIT ? wish : null, tries > 0, DatacenterPath.LOCAL, now + DEADLINE_MS);
        int epoch = at.epoch;
        double sent = now;
        boolean[] done = {false};
        enter(at, p, end -> {
            if (done[0] || at.epoch != epoch) {
                return;
            }
            done[0] = true;
            answered++;
            served += end == Final.SERVED ? 1 : 0;
            if (now > sent + DEADLINE_MS + 0.001) {
                broken.add(id + " was answered late");
            }
            if (end == Final.REFUSED) {
                // A promise, which holds for ever.
                if (ran.contains(id)) {
                    broken.add(id + " was refused and had run");
                }
                ran.remove(id);
                entered.computeIfAbsent(id, i -> new HashSet<>()).add("promised");
            }
            if (end != Final.SERVED && tries < 3 && service != ONCE && now - firstMs < WINDOW_MS - 2 * DEADLINE_MS) {
                at(now + 20 + random.nextInt(800), () -> ask(all, service, wish, tries + 1, firstMs,
                        all.get(random.nextInt(all.size()))));
            }
        });
        at(now + DEADLINE_MS + 1, () -> {
            if (!done[0] && at.epoch == epoch) {
                broken.add(id + " was not answered");
            }
            // A client whose gateway died asks again, like any other.
            if (!done[0] && at.epoch != epoch && tries < 3 && service != ONCE && now - firstMs < WINDOW_MS - 2 * DEADLINE_MS) {
                ask(all, service, wish, tries + 1, firstMs, all.get(random.nextInt(all.size())));
            }
        });
    }

    // Halls.

    /** A request enters a gateway, whose answer comes once. */
    private void enter(Gate at, RoutedRequest p, Consumer<Final> answer) {
        int epoch = at.epoch;
        carryOut(at, p, at.module.requestArrived(now, p), Final.REFUSED, end -> {
            if (at.epoch == epoch) {
                at.module.requestFinished(p);
                answer.accept(end);
            }
        });
    }

    private void carryOut(Gate at, RoutedRequest p, Step step, Final home, Consumer<Final> answer) {
        if (step instanceof DatacenterRouter.TryHome h) {
            home(at, p, h.reserveMs(), answer);
        } else if (step instanceof DatacenterRouter.Forward a) {
            across(at, p, a, home, answer);
        } else if (step instanceof DatacenterRouter.QueryKey a) {
            asks(at, p, a, answer);
        } else if (step instanceof DatacenterRouter.Refuse r) {
            answer.accept(r.provenNotRun() ? Final.REFUSED : Final.UNPROVEN);
        } else if (step instanceof DatacenterRouter.Fail) {
            answer.accept(Final.FAILED);
        } else {
            answer.accept(home);
        }
    }

    private void home(Gate at, RoutedRequest p, double reserve, Consumer<Final> answer) {
        Hall h = at.hall;
        Set<String> visits = entered.computeIfAbsent(p.id(), i -> new HashSet<>());
        if (!visits.add(h.name)) {
            broken.add(p.id() + " ran twice in " + h.name);
        }
        if (visits.contains("promised")) {
            broken.add(p.id() + " was sent to nodes after a refusal that promised that nothing ran");
        }
        if (running.merge(p.id(), 1, Integer::sum) > 1) {
            broken.add(p.id() + " has two attempts out at once");
        }
        double left = p.deadlineMs() - now - reserve;
        int epoch = at.epoch;
        boolean hit = p.service() == READ && random.nextInt(2) == 0;
        HomeOutcome end;
        Final as;
        double takes;
        if (hit || h.storeUp && h.answers) {
            takes = Math.min(left, 2 + random.nextInt(40));
            run(h, p);
            end = HomeOutcome.SERVED;
            as = Final.SERVED;
        } else if (!h.storeUp) {
            takes = Math.min(left, 1 + random.nextInt(20));
            end = HomeOutcome.REFUSED;
            as = Final.REFUSED;
        } else {
            // It may run and says nothing.
            takes = Math.min(left, 400);
            if (random.nextBoolean()) {
                run(h, p);
            }
            end = p.service() == ONCE || p.service() == CREDIT && random.nextBoolean() ? HomeOutcome.FAILED : HomeOutcome.UNPROVEN;
            as = end == HomeOutcome.FAILED ? Final.FAILED : Final.UNPROVEN;
        }
        at(now + Math.max(0, takes), () -> {
            running.merge(p.id(), -1, Integer::sum);
            if (at.epoch == epoch) {
                carryOut(at, p, at.module.homeEnded(now, p, end, true), as, answer);
            }
        });
    }

    private void run(Hall h, RoutedRequest p) {
        ran.add(p.id());
        if (p.idempotencyKey() != null) {
            Double known = h.remembered.get(p.idempotencyKey());
            if (known == null || now - known >= WINDOW_MS) {
                h.remembered.put(p.idempotencyKey(), now);
                recorded.merge(p.idempotencyKey(), 1, Integer::sum);
            }
        } else if (p.service() == ONCE) {
            recorded.merge(p.id(), 1, Integer::sum);
        }
    }

    private void across(Gate from, RoutedRequest p, DatacenterRouter.Forward a, Final home, Consumer<Final> answer) {
        crossed++;
        Gate to = gates.get(a.gateway());
        int epoch = from.epoch;
        double until = now + a.timeoutMs();
        boolean[] over = {false};
        Set<String> beyond = new HashSet<>();
        Consumer<ForwardOutcome> ended = end -> {
            if (!over[0] && from.epoch == epoch) {
                over[0] = true;
                Step next = from.module.forwardEnded(now, p, end, 0, beyond);
                carryOut(from, p, next, end == ForwardOutcome.SERVED ? Final.SERVED : home, answer);
            }
        };
        at(until, () -> ended.accept(ForwardOutcome.LOST));
        send(from, to, () -> {
            if (until - now <= 0) {
                // Too old when it came: the transit clock has seen that.
                send(to, from, () -> ended.accept(ForwardOutcome.REFUSED));
                return;
            }
            RoutedRequest there = new RoutedRequest(p.id(), p.service(), p.idempotencyKey(), p.isRetry(), p.forwardedPath(from.hall.name), until);
            enter(to, there, end -> send(to, from, () -> {
                beyond.addAll(there.enteredDatacenters());
                ended.accept(switch (end) {
                    case SERVED -> ForwardOutcome.SERVED;
                    case REFUSED -> ForwardOutcome.REFUSED;
                    default -> there.mayBeInProgress() ? ForwardOutcome.LOST : ForwardOutcome.FAILED;
                });
            }));
        });
    }

    private void asks(Gate at, RoutedRequest p, DatacenterRouter.QueryKey a, Consumer<Final> answer) {
        Map<String, DatacenterRouter.KeyStatus> words = new HashMap<>();
        boolean[] over = {false};
        int epoch = at.epoch;
        Runnable done = () -> {
            if (!over[0] && at.epoch == epoch) {
                over[0] = true;
                carryOut(at, p, at.module.keyStatusesReceived(now, p, a.gateways(), words), Final.REFUSED, answer);
            }
        };
        at(now + a.timeoutMs(), done);
        for (String g : a.gateways()) {
            Gate other = gates.get(g);
            send(at, other, () -> {
                DatacenterRouter.KeyStatus word = other.module.answerKeyQuery(now, p.idempotencyKey(), at.hall.name, WINDOW_MS);
                send(other, at, () -> {
                    words.put(g, word);
                    if (words.size() == a.gateways().size()) {
                        done.run();
                    }
                });
            });
        }
    }
}

package ridgemill.halls;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import ridgemill.limit.Rate;
import ridgemill.limit.TokenBucket;
import ridgemill.policy.Router.Effect;

/**
 * Decides for each request whether home or another hall is asked, in which order, and when it ends. It is told how attempts
 * ended and answers with the next step; whoever asks it carries the step out.
 *
 * <p>What it keeps, whatever the other halls say or do: a request enters each hall once at most; nothing is sent on while
 * an attempt may be out elsewhere; a keyed write goes to no second hall once it may have run in one, unless both drop each
 * other's repeats; where nobody can say in which hall a client's earlier try may have run, it runs nowhere.
 */
public final class Halls {

    /** How a request ended at this hall's own nodes. */
    public enum HomeEnd {
        SERVED,
        /** Nothing ran. */
        REFUSED,
        /** It may have run, and trying again is harmless. */
        UNPROVEN,
        /** It may have run. */
        FAILED,
        /** Its client left. */
        GONE
    }

    /** How a crossing ended. */
    public enum CrossingEnd {
        SERVED,
        /** The other hall says that nothing ran there or beyond. */
        REFUSED,
        /** The other hall says that it may have run there. */
        FAILED,
        /** The link went here or beyond, or the time was up: it may have run, or may be running still. */
        LOST,
        /** It was never handed to the network. */
        UNSENT,
        /** Its client left. */
        GONE
    }

    /** What is to be done next. */
    public sealed interface Step { }

    /** Ask this hall's own nodes, and leave so much of its time for another hall. */
    public record Home(double reserveMs) implements Step { }

    /** Send it to a gateway of another hall, which has so long. */
    public record Across(String gateway, String hall, double timeoutMs) implements Step { }

    /** Ask these gateways where the key may have run; {@link #asked} is owed by then. */
    public record Ask(List<String> gateways, double patienceMs) implements Step { }

    /** Answer at once that it is refused. {@code proven} is false where it may have run and is safe to repeat. */
    public record Refuse(double retryAfterMs, boolean proven) implements Step { }

    /** Answer at once that it has failed. */
    public record Fail() implements Step { }

    /** Answer as home did; or nothing is to be done. */
    public record AsHome() implements Step { }

    /** What a gateway tells others of itself. */
    public record Told(int level, boolean takes, boolean leaving) { }

    /** What a gateway knows of a key. */
    public sealed interface Word { }

    /** It knows nothing of it, and will not run it. */
    public record Nothing() implements Word { }

    /** It may have run in this hall, so long ago. */
    public record RanIn(String hall, double agoMs) implements Word { }

    /** It can't say, as after a start. */
    public record CannotSay() implements Word { }

    /** Counts since the start. */
    public record Counts(long across, long rescued, long taken, long refusedForeign, long loops, long overBudget, long asked,
                         long unknown, int ledger) { }

    /** Below this a crossing is not worth its frames. */
    private static final double LEAST_MS = 10;
    /** An answer that is back by then can still be written in time. */
    private static final double SLACK_MS = 15;
    private static final double LEAST_HOME_MS = 30;
    private static final double COME_BACK_MS = 250;
    private static final double RESERVE_PART = 0.4;
    private static final double WINDOW_MARGIN_MS = 100;
    /** How long after a start a gateway can't say what the one before it ran, in repeat windows. */
    private static final double START_WINDOWS = 1.5;
    private static final double SEEN_MS = 10_000;
    private static final int MOST_SEEN = 200_000;

    private record Seen(String id, double atMs) { }

    private final Map<String, Gateway> gateways = new LinkedHashMap<>();
    private final Map<String, Homeward> homewards = new TreeMap<>();
    private final RepeatLedger ledger = new RepeatLedger();
    private final Deque<Seen> seenOrder = new ArrayDeque<>();
    private final Set<String> seen = new HashSet<>();
    private final double startedMs;
    private HallPolicy policy;
    private final TokenBucket budget;
    private ForeignShare foreign;
    private long across;
    private long rescued;
    private long taken;
    private long refusedForeign;
    private long loops;
    private long overBudget;
    private long asked;
    private long unknown;

    public Halls(HallPolicy policy, double nowMs) {
        this.startedMs = nowMs;
        this.budget = new TokenBucket(rate(policy), nowMs);
        this.policy = policy;
        this.foreign = new ForeignShare(policy.taken());
        gateways();
    }

    private static Rate rate(HallPolicy policy) {
        return new Rate(policy.perSecond(), (int) Math.max(1, policy.perSecond() / 4));
    }

    private void gateways() {
        policy.gateways().forEach((hall, of) -> of.forEach(g -> gateways.computeIfAbsent(g,
                n -> new Gateway(n, hall, policy.inFlight()))));
        gateways.keySet().retainAll(policy.all());
    }

    /** Another policy holds from now on; what was learned of gateways that stay, stays. */
    public void changeTo(HallPolicy next, double nowMs) {
        boolean others = next.taken() != policy.taken();
        policy = next;
        budget.changeTo(rate(next), nowMs);
        if (others) {
            foreign = new ForeignShare(next.taken());
        }
        gateways();
    }

    public HallPolicy policy() {
        return policy;
    }

    // What is known of other halls.

    /** How the link to a gateway is. */
    public void link(String gateway, LinkPulse.State state, double rttMs) {
        Gateway g = gateways.get(gateway);
        if (g != null) {
            g.link = state;
            g.rttMs = rttMs;
            g.refusingSince = state == LinkPulse.State.DEAD ? g.refusingSince : Double.NaN;
        }
    }

    /** A connection to a gateway was refused, which shows that nobody listens there; or not had for another reason. */
    public void noConnection(double nowMs, String gateway, boolean refused) {
        Gateway g = gateways.get(gateway);
        if (g != null) {
            g.link = LinkPulse.State.DEAD;
            g.refusingSince = !refused ? Double.NaN : Double.isNaN(g.refusingSince) ? nowMs : g.refusingSince;
        }
    }

    /** What a gateway says of itself. */
    public void told(double nowMs, String gateway, Told state) {
        Gateway g = gateways.get(gateway);
        if (g != null) {
            g.told(nowMs, state);
        }
    }

    /** What this gateway says of itself; {@code level} is its decisions' level of throttling. */
    public Told tell(int level, boolean leaving) {
        boolean away = !homewards.isEmpty() && homewards.values().stream().allMatch(h -> h.state() == Homeward.State.AWAY);
        return new Told(level, policy.taken() > 0 && !away, leaving);
    }

    // The way of a request.

    /** A request has come. Whatever becomes of it, {@link #over} is owed. */
    public Step arrived(double nowMs, Passing p) {
        if (!policy.crosses(p.service().name())) {
            // Of a class that stays at home nothing can have run elsewhere, and nobody is asked.
            if (p.trail().isForeign()) {
                refusedForeign++;
                return new Refuse(COME_BACK_MS, true);
            }
            p.wentHome = true;
            return new Home(0);
        }
        if (p.trail().isForeign()) {
            if (loops(nowMs, p)) {
                loops++;
                return new Refuse(0, true);
            }
            if (p.deadlineMs() - nowMs < LEAST_MS || !foreign.admit(nowMs)) {
                refusedForeign++;
                return new Refuse(COME_BACK_MS, true);
            }
            p.admitted = true;
            taken++;
        }
        if (p.isKeyed()) {
            RepeatLedger.Entry e = ledger.find(nowMs, p.key());
            if (e == null && p.isRetry() && p.trail().isForeign() && isNew(nowMs, p.service().deduplicationWindowMs())) {
                // The gateway before this one may have promised that it does not run here.
                return new Refuse(COME_BACK_MS, true);
            }
            if (e != null && e.fence() && p.trail().isForeign()) {
                // Who was promised that it does not run here may have run it.
                return new Refuse(COME_BACK_MS, true);
            }
            if (ranElsewhere(e)) {
                return elsewhere(nowMs, p, e);
            }
            // A gateway that sends one on has made sure of it.
            if (e != null && e.fence() || e == null && p.isRetry() && !p.trail().isForeign() && !policy.gateways().isEmpty()) {
                return ask(nowMs, p);
            }
            if (e != null || p.isRetry()) {
                mayHaveRunHere(p);
            }
        }
        return first(nowMs, p);
    }

    private boolean ranElsewhere(RepeatLedger.Entry e) {
        return e != null && !e.fence() && !e.hall().equals(policy.hall());
    }

    /** An earlier try may have run at this hall's nodes, through this gateway or one beside it: this one stays here too. */
    private void mayHaveRunHere(Passing p) {
        p.bound = policy.sharing().isEmpty() ? policy.hall() : null;
        p.onlySharing = true;
    }

    /** Whether the gateway that ran here before may have done and promised what this one knows nothing of. */
    private boolean isNew(double nowMs, double windowMs) {
        return nowMs - startedMs < START_WINDOWS * windowMs;
    }

    private boolean loops(double nowMs, Passing p) {
        while (!seenOrder.isEmpty() && (seenOrder.peekFirst().atMs() < nowMs - SEEN_MS || seen.size() >= MOST_SEEN)) {
            seen.remove(seenOrder.removeFirst().id());
        }
        if (p.trail().knows(policy.hall()) || p.trail().halls().size() > policy.hopLimit() || !seen.add(p.id())) {
            return true;
        }
        seenOrder.addLast(new Seen(p.id(), nowMs));
        return false;
    }

    /** One that may have run in another hall goes there or nowhere. */
    private Step elsewhere(double nowMs, Passing p, RepeatLedger.Entry e) {
        p.bound = e.hall();
        double until = e.firstMs() + e.windowMs() - WINDOW_MARGIN_MS;
        if (until <= nowMs) {
            // Its nodes may have forgotten it, and no other may run it.
            return new Fail();
        }
        p.deadlineMs = Math.min(p.deadlineMs, until);
        Step step = across(nowMs, p);
        return step == null ? new Refuse(COME_BACK_MS, true) : step;
    }

    private Step ask(double nowMs, Passing p) {
        List<String> whom = new ArrayList<>();
        double slowest = 0;
        for (Gateway g : gateways.values()) {
            if (!Double.isNaN(g.refusingSince) && nowMs - g.refusingSince >= policy.quietMs()) {
                // Nobody has listened there for longer than nodes remember.
                continue;
            }
            if (g.link != LinkPulse.State.UP) {
                unknown++;
                return new Refuse(COME_BACK_MS, true);
            }
            slowest = Math.max(slowest, g.rttMs);
            whom.add(g.name);
        }
        if (whom.isEmpty()) {
            mayHaveRunHere(p);
            return first(nowMs, p);
        }
        asked++;
        p.askedAt = nowMs;
        ledger.asking(p.key(), true);
        return new Ask(whom, Math.min((p.deadlineMs() - nowMs) / 3, Math.max(50, 4 * slowest)));
    }

    /** Those asked have answered, or the wait for them is over: {@code words} has what came, by gateway. */
    public Step asked(double nowMs, Passing p, List<String> whom, Map<String, Word> words) {
        ledger.asking(p.key(), false);
        RanIn ran = null;
        for (String g : whom) {
            Word word = words.getOrDefault(g, new CannotSay());
            if (word instanceof CannotSay) {
                unknown++;
                return new Refuse(COME_BACK_MS, true);
            }
            if (word instanceof RanIn r) {
                if (ran != null && !r.hall().equals(ran.hall())) {
                    unknown++;
                    return new Refuse(COME_BACK_MS, true);
                }
                ran = ran == null || r.agoMs() > ran.agoMs() ? r : ran;
            }
        }
        if (ran != null && !ran.hall().equals(policy.hall())) {
            ledger.note(nowMs, p.key(), ran.hall(), nowMs - ran.agoMs(), p.service().deduplicationWindowMs());
        }
        RepeatLedger.Entry e = ledger.find(nowMs, p.key());
        if (e != null && e.fence() && e.firstMs() >= p.askedAt) {
            // Another has asked us meanwhile, and was told that it does not run here.
            return new Refuse(COME_BACK_MS, true);
        }
        if (ranElsewhere(e)) {
            return elsewhere(nowMs, p, e);
        }
        mayHaveRunHere(p);
        return first(nowMs, p);
    }

    private Step first(double nowMs, Passing p) {
        if (!mayCross(p) || homeward(p).homeFirst(nowMs)) {
            return home(nowMs, p);
        }
        Step step = across(nowMs, p);
        if (step != null) {
            return step;
        }
        // Another hall's request finds here what it has left behind; it hears so at once.
        return p.trail().isForeign() ? new Refuse(COME_BACK_MS, true) : home(nowMs, p);
    }

    private boolean mayCross(Passing p) {
        return policy.crosses(p.service().name()) && !policy.hall().equals(p.bound);
    }

    private Homeward homeward(Passing p) {
        return homewards.computeIfAbsent(p.service().name(), n -> new Homeward(p.service().effect() != Effect.SAFE));
    }

    private Step home(double nowMs, Passing p) {
        if (p.isKeyed()) {
            RepeatLedger.Entry before = ledger.find(nowMs, p.key());
            boolean isNew = before == null || before.fence();
            RepeatLedger.Entry e = ledger.note(nowMs, p.key(), policy.hall(), nowMs, p.service().deduplicationWindowMs());
            p.made = isNew ? e : null;
        }
        p.wentHome = true;
        double left = p.deadlineMs() - nowMs;
        Gateway spare = mayCross(p) && homeward(p).isShaky(nowMs) ? best(nowMs, p, left) : null;
        return new Home(spare == null ? 0 : Math.min(RESERVE_PART * left, 2 * spare.expectedMs() + SLACK_MS));
    }

    /**
     * It has ended at home.
     *
     * @param quiet whether no attempt of it is out any more
     */
    public Step homeEnded(double nowMs, Passing p, HomeEnd end, boolean quiet) {
        p.homeEnd = end;
        p.mayBeOut |= !quiet;
        if (end == HomeEnd.GONE) {
            return new AsHome();
        }
        homeward(p).outcome(nowMs, end == HomeEnd.SERVED);
        if (!p.trail().isForeign()) {
            foreign.own(nowMs, end == HomeEnd.SERVED);
        }
        if (end == HomeEnd.SERVED) {
            return new AsHome();
        }
        if (end == HomeEnd.REFUSED) {
            neverRan(p);
        } else if (!p.isSafe()) {
            p.onlySharing = true;
        }
        boolean goes = quiet && mayCross(p) && (end == HomeEnd.REFUSED || p.isSafe() || p.isKeyed());
        Step step = goes ? across(nowMs, p) : null;
        if (step == null) {
            return last(p, 0);
        }
        rescued++;
        return step;
    }

    private void neverRan(Passing p) {
        if (p.made != null) {
            ledger.clear(p.key(), p.made);
            p.made = null;
        }
    }

    private Gateway best(double nowMs, Passing p, double leftMs) {
        // What must not run twice crosses once: who sent it here has noted this hall, and knows of none beyond.
        if (p.trail().halls().size() + p.entered.size() + 1 > policy.hopLimit() || p.trail().isForeign() && !p.isSafe()) {
            return null;
        }
        for (Map.Entry<String, List<String>> hall : policy.gateways().entrySet()) {
            if (p.knows(hall.getKey()) || p.bound != null && !p.bound.equals(hall.getKey())
                    || p.onlySharing && p.bound == null && !policy.sharing().contains(hall.getKey())) {
                continue;
            }
            Gateway best = null;
            for (String name : hall.getValue()) {
                Gateway g = gateways.get(name);
                boolean usable = g.link == LinkPulse.State.UP && g.isOpen(nowMs) && !p.tried.contains(name)
                        && g.window.takes(nowMs) && leftMs - SLACK_MS > Math.max(g.rttMs + LEAST_MS, g.expectedMs());
                if (usable && (best == null || g.window.fill() < best.window.fill())) {
                    best = g;
                }
            }
            if (best != null) {
                return best;
            }
        }
        return null;
    }

    /** Sends it across if some hall takes it; null if none does. */
    private Step across(double nowMs, Passing p) {
        double left = p.deadlineMs() - nowMs;
        Gateway g = best(nowMs, p, left);
        if (g == null) {
            return null;
        }
        if (!budget.tryTake(nowMs)) {
            overBudget++;
            return null;
        }
        if (p.isKeyed()) {
            RepeatLedger.Entry before = ledger.find(nowMs, p.key());
            RepeatLedger.Entry e = ledger.note(nowMs, p.key(), g.hall, before == null ? nowMs : before.firstMs(),
                    p.service().deduplicationWindowMs());
            if (e == null) {
                return null;
            }
            p.made = before == null ? e : null;
            if (before != null) {
                p.deadlineMs = Math.min(p.deadlineMs, e.firstMs() + e.windowMs() - WINDOW_MARGIN_MS);
                left = p.deadlineMs - nowMs;
            }
        }
        p.gateway = g;
        p.crossedAt = nowMs;
        p.entered.add(g.hall);
        g.window.started(nowMs);
        across++;
        return new Across(g.name, g.hall, left - SLACK_MS);
    }

    /**
     * Its crossing has ended.
     *
     * @param retryAfterMs what the other hall told, 0 for nothing
     * @param beyond halls that it has entered through that one
     */
    public Step crossingEnded(double nowMs, Passing p, CrossingEnd end, double retryAfterMs, Collection<String> beyond) {
        p.entered.addAll(beyond);
        Gateway g = p.gateway;
        p.gateway = null;
        switch (end) {
            case SERVED -> {
                g.served++;
                g.took(nowMs - p.crossedAt);
                g.window.served();
                return new AsHome();
            }
            case REFUSED -> {
                g.refused++;
                g.window.refused(nowMs);
                neverRan(p);
            }
            case FAILED -> {
                g.failed++;
                g.window.refused(nowMs);
                p.ranAcross.add(g.hall);
            }
            case LOST -> {
                g.lost++;
                p.mayBeOut = true;
                g.window.lost(nowMs);
                p.ranAcross.add(g.hall);
            }
            case UNSENT -> {
                g.window.left();
                p.tried.add(g.name);
                p.entered.remove(g.hall);
                neverRan(p);
            }
            case GONE -> {
                g.window.left();
                return new AsHome();
            }
        }
        // One that is lost may be running still: two attempts must not be out at once.
        boolean goesOn = end != CrossingEnd.LOST && (p.isSafe() || p.ranAcross.isEmpty());
        Step step = goesOn ? next(nowMs, p) : null;
        return step != null ? step : last(p, retryAfterMs);
    }

    private Step next(double nowMs, Passing p) {
        Step step = across(nowMs, p);
        boolean home = !p.wentHome && (p.bound == null || p.bound.equals(policy.hall())) && !p.trail().isForeign()
                && p.deadlineMs() - nowMs > LEAST_HOME_MS;
        return step != null ? step : home ? home(nowMs, p) : null;
    }

    private static Step last(Passing p, double retryAfterMs) {
        if (!p.ranAcross.isEmpty()) {
            return p.isSafe() ? new Refuse(COME_BACK_MS, false) : new Fail();
        }
        return p.homeEnd != null ? new AsHome() : new Refuse(retryAfterMs > 0 ? retryAfterMs : COME_BACK_MS, true);
    }

    /** A request has its final answer, or its client has left. */
    public void over(Passing p) {
        if (p.admitted) {
            p.admitted = false;
            foreign.ended();
        }
    }

    /**
     * Another hall asks whether a key may have run here. Where nothing is known of it, it will not run here from now on
     * unless all others say in their turn that they know nothing of it.
     */
    public Word keyAsked(double nowMs, String key, String from, double windowMs) {
        if (isNew(nowMs, windowMs) || !policy.gateways().containsKey(from)
                || ledger.isAsking(key) && policy.hall().compareTo(from) < 0) {
            return new CannotSay();
        }
        RepeatLedger.Entry e = ledger.find(nowMs, key);
        if (e == null || e.fence()) {
            return ledger.fence(nowMs, key, from, windowMs) == null ? new CannotSay() : new Nothing();
        }
        return new RanIn(e.hall(), nowMs - e.firstMs());
    }

    // For whoever watches.

    /** Counts since the start. */
    public Counts counts() {
        return new Counts(across, rescued, taken, refusedForeign, loops, overBudget, asked, unknown, ledger.size());
    }

    /** How each class and each gateway is, a line each. */
    public List<String> explain() {
        List<String> lines = new ArrayList<>();
        homewards.forEach((name, h) -> lines.add("class " + name + " " + h.state() + " home share " + Math.round(h.share() * 100)
                + "%"));
        Collection<Gateway> all = gateways.values();
        all.forEach(g -> lines.add("gateway " + g.name + " of " + g.hall + " " + g.link + " rtt " + Math.round(g.rttMs * 10) / 10.0
                + " ms out " + g.window.out() + " of " + g.window.size() + " served " + g.served + " refused " + g.refused
                + " failed " + g.failed + " lost " + g.lost));
        lines.add("others' requests open " + foreign.open() + " of " + foreign.size());
        return lines;
    }
}

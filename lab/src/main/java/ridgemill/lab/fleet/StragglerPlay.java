package ridgemill.lab.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import ridgemill.testbed.ledger.Ledger;

/**
 * One process of a fleet under load does not act as the others do, each time for another reason: how long until the others know, until it
 * is out, and until it acts as they do again. While it is out nothing may begin at it, as nodes and clients saw.
 */
public final class StragglerPlay {

    /** How it comes to lag. */
    public enum Kind {
        /** It is started with a file of before. */
        OLD_FILE(true),
        /** It is started with a higher number than the fleet's. */
        HIGHER_FILE(false),
        /** It is started with the fleet's number and another text. */
        OTHER_TEXT(false),
        /** It is stopped while a version goes through the fleet. */
        STOPPED(true),
        /** Nothing reaches it, and nothing comes of it. */
        CUT_OFF(true);

        /** Whether it is brought up by itself; else it takes a roll above all numbers. */
        private final boolean comesBack;

        Kind(boolean comesBack) {
            this.comesBack = comesBack;
        }
    }

    /**
     * What came of it, in milliseconds from when it began to lag; NaN for what was not seen.
     *
     * @param knownMs until another proxy told of it
     * @param outMs until it was out
     * @param inMs until it acted as the others do, from then on when nothing was in its way any more
     */
    public record Result(Kind kind, double knownMs, double outMs, double inMs) { }

    private static final int LOOK_MS = 20;
    private static final double MOST_MS = 20_000;
    private static final double MOST_IN_MS = 45_000;
    /** A request may be on its way to its proxy for so long. */
    private static final double SLACK_MS = 600;
    private static final int STOPPED_MS = 9500;

    private final RollPlay play;
    private final FleetRig rig;
    private final Ledger ledger;
    private final List<String> faults = new ArrayList<>();

    private StragglerPlay(RollPlay play) {
        this.play = play;
        this.rig = play.rig();
        this.ledger = rig.bed().ledger();
    }

    private void restartWith(int who, String file) throws Exception {
        rig.kill(who);
        rig.writeOperatorFile(who, file);
        rig.start(who);
    }

    private boolean isOut(int who) {
        return play.rolls(who).contains("and is OUT");
    }

    /** Has one lag, and waits until it does not. */
    private Result lags(Kind kind, int who) throws Exception {
        int other = (who + 1) % rig.size();
        int now = play.actsUnder(other);
        switch (kind) {
            case OLD_FILE -> {
                int next = play.rollAbove();
                play.await(() -> play.isWhole() && play.actsUnder(who) == next);
                restartWith(who, RollPlay.FILE.formatted(now));
            }
            case HIGHER_FILE -> {
                play.used(now + 5);
                restartWith(who, RollPlay.FILE.formatted(now + 5));
            }
            case OTHER_TEXT -> restartWith(who, RollPlay.FILE.formatted(now) + "[process]\nidle = \"7s\"\n");
            case STOPPED -> {
                rig.stop(who);
                play.rollAbove();
            }
            default -> rig.net().split(List.of(who));
        }
        double from = ledger.now();
        double known = Double.NaN;
        double out = Double.NaN;
        double healed = kind.comesBack && kind != Kind.STOPPED && kind != Kind.CUT_OFF ? from : Double.NaN;
        while (ledger.now() < from + MOST_MS && (Double.isNaN(known) || Double.isNaN(out))) {
            double t = ledger.now();
            String told = rig.lines(other, "versions").stream().skip(who).findFirst().orElse("");
            known = Double.isNaN(known) && !told.isEmpty() && !told.contains("UP_TO_DATE") ? t - from : known;
            out = Double.isNaN(out) && isOut(who) ? t - from : out;
            if (kind == Kind.STOPPED && t > from + STOPPED_MS && rig.isStopped(who)) {
                rig.goOn(who);
                healed = ledger.now();
            }
            if (kind.comesBack && !Double.isNaN(healed) && play.isWhole()) {
                break;
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
        rig.net().change(w -> w.cut(false));
        rig.goOn(who);
        if (!kind.comesBack) {
            play.rollAbove();
        }
        healed = Double.isNaN(healed) ? ledger.now() : healed;
        double[] outUntil = {from + out};
        boolean whole = play.await(() -> {
            double asked = ledger.now();
            outUntil[0] = isOut(who) ? asked : outUntil[0];
            return play.isWhole();
        }, (long) (MOST_IN_MS / 1000));
        double in = whole ? ledger.now() - healed : Double.NaN;
        if (!whole) {
            faults.add(kind + ": p" + who + " does not come back: " + play.rolls(who));
        }
        if (!Double.isNaN(out)) {
            nothingBegins(kind, FleetRig.name(who), from + out + SLACK_MS, outUntil[0]);
        }
        return new Result(kind, known, out, in);
    }

    /** Of what its clients sent between two times none went on to a node. */
    private void nothingBegins(Kind kind, String proxy, double from, double until) {
        Set<String> sent = new HashSet<>();
        ledger.nodes().stream().filter(e -> e.begunAt() > 0).forEach(e -> sent.add(e.id()));
        ledger.clients().stream().filter(c -> c.proxy().equals(proxy) && c.sentAt() > from && c.sentAt() < until && sent.contains(c.id()))
                .forEach(c -> faults.add(kind + ": " + c.id() + " began at " + proxy + ", which was out"));
    }

    /** Plays each kind so often on fleets of so many, prints how long what took, and returns whether nothing was wrong. */
    public static boolean plays(int proxies, long seed, int each) throws Exception {
        Map<Kind, List<Result>> results = new EnumMap<>(Kind.class);
        List<String> faults = new ArrayList<>();
        for (int i = 0; i < each; i++) {
            try (RollPlay play = RollPlay.start(proxies, seed + i, 35.0 * Kind.values().length)) {
                StragglerPlay stragglers = new StragglerPlay(play);
                for (Kind kind : Kind.values()) {
                    results.computeIfAbsent(kind, k -> new ArrayList<>()).add(stragglers.lags(kind, (i + kind.ordinal()) % proxies));
                }
                faults.addAll(stragglers.faults);
            } catch (IOException e) {
                throw new IllegalStateException("seed " + (seed + i), e);
            }
        }
        results.forEach((kind, all) -> System.out.printf(Locale.ROOT, "%s: known after ms %s; out after %s; in again after %s%n", kind,
                spread(all.stream().map(Result::knownMs).toList()), spread(all.stream().map(Result::outMs).toList()),
                spread(all.stream().map(Result::inMs).toList())));
        faults.forEach(f -> System.out.println("FAULT " + f));
        System.out.printf("%d proxies, seeds %d to %d: %s%n", proxies, seed, seed + each - 1, faults.isEmpty() ? "no fault" : "FAULTS");
        return faults.isEmpty();
    }

    private static String spread(List<Double> values) {
        return LeasesMeasured.spread(values.stream().filter(v -> !Double.isNaN(v)).toList());
    }
}

package ridgemill.lab.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import ridgemill.lab.ScenarioException;

/**
 * What is done to a fleet and when, from a seed or from text. One step a line, as in a scenario; what follows a {@code #} is a
 * remark:
 *
 * <pre>
 * at T stop pN | continue pN | sleep pN | kill pN | start pN | term pN
 * at T clock pN RATE                     how many times as fast it runs
 * at T cut pN pM                         what pN says to pM is lost
 * at T isolate pN                        nothing to it and nothing from it
 * at T network LOSS DELAY DOUBLED        of all ways: shares of 0 to 1, and how late at most
 * at T noise REPLAYED FLIPPED            of all ways
 * at T clear                             all ways are as at first
 * </pre>
 *
 * {@code sleep} is a {@code continue} of a machine whose clock stood still while it was stopped. {@code holder} in the place of pN
 * is whoever acted last when the step comes, and {@code holder+1} the proxy after it; in {@code continue}, {@code sleep} and {@code start}, whom the last such step struck.
 *
 * @param steps in the order of their times
 */
public record Timeline(List<Step> steps) {

    /** In the place of a proxy's number: whoever holds. */
    public static final int HOLDER = -1;
    /** The one after it, and below that those that follow, in the order of their numbers. */
    public static final int NEXT_TO_HOLDER = -2;

    /** What can be done, and how many proxies and numbers it names. */
    public enum Action {
        STOP(1, 0), CONTINUE(1, 0), SLEEP(1, 0), KILL(1, 0), START(1, 0), TERM(1, 0), CLOCK(1, 1), CUT(2, 0), ISOLATE(1, 0), NETWORK(0, 3),
        NOISE(0, 2), CLEAR(0, 0);

        private final int proxies;
        private final int numbers;

        Action(int proxies, int numbers) {
            this.proxies = proxies;
            this.numbers = numbers;
        }
    }

    /** One step: at so many milliseconds from the beginning. */
    public record Step(double atMs, Action action, List<Integer> who, List<Double> numbers) {

        public Step {
            who = List.copyOf(who);
            numbers = List.copyOf(numbers);
        }

        @Override
        public String toString() {
            StringBuilder text = new StringBuilder("at %.0fms %s".formatted(atMs, action.name().toLowerCase(Locale.ROOT)));
            who.forEach(p -> text.append(p >= 0 ? " p" + p : p == HOLDER ? " holder" : " holder+" + (HOLDER - p)));
            numbers.forEach(n -> text.append(' ').append("%.3f".formatted(n)));
            return text.toString();
        }
    }

    public Timeline {
        steps = steps.stream().sorted(Comparator.comparingDouble(Step::atMs)).toList();
    }

    /** Reads text; throws with the line where it makes no sense. */
    public static Timeline parse(String name, String text, int proxies) {
        List<Step> steps = new ArrayList<>();
        int number = 0;
        for (String line : text.split("\n")) {
            number++;
            String bare = line.replaceAll("#.*", "").trim();
            if (bare.isEmpty()) {
                continue;
            }
            try {
                steps.add(step(bare.split("\\s+"), proxies));
            } catch (IllegalArgumentException e) {
                throw new ScenarioException(name, number, e.getMessage());
            }
        }
        return new Timeline(steps);
    }

    private static Step step(String[] words, int proxies) {
        if (words.length < 3 || !words[0].equals("at") || !words[1].matches("[0-9.]+(ms|s)")) {
            throw new IllegalArgumentException("a step reads as: at 250ms stop p1");
        }
        double number = Double.parseDouble(words[1].replaceAll("m?s", ""));
        Action action;
        try {
            action = Action.valueOf(words[2].toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("unknown action: " + words[2], e);
        }
        if (words.length != 3 + action.proxies + action.numbers) {
            throw new IllegalArgumentException(words[2] + " takes " + action.proxies + " proxies and " + action.numbers + " numbers");
        }
        List<Integer> who = new ArrayList<>();
        List<Double> numbers = new ArrayList<>();
        for (int i = 3; i < words.length; i++) {
            if (who.size() < action.proxies) {
                int proxy = words[i].equals("holder") ? HOLDER : words[i].matches("holder\\+[0-9]{1,2}")
                        ? HOLDER - Integer.parseInt(words[i].substring("holder+".length())) : words[i].matches("p[0-9]{1,3}") ? Integer.parseInt(words[i].substring(1)) : proxies;
                if (proxy >= proxies) {
                    throw new IllegalArgumentException("no such proxy: " + words[i]);
                }
                who.add(proxy);
            } else {
                numbers.add(Double.parseDouble(words[i]));
            }
        }
        return new Step(words[1].endsWith("ms") ? number : 1000 * number, action, who, numbers);
    }

    /**
     * A timeline of chance: a fault each third of a lease on average, most of them healed again.
     *
     * @param drift by how much clocks may run fast or slow
     */
    public static Timeline ofSeed(long seed, int proxies, double leaseMs, double lengthMs, double drift) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < proxies; i++) {
            steps.add(new Step(0, Action.CLOCK, List.of(i), List.of(1 + drift * (random.nextInt(3) - 1))));
        }
        if (random.nextDouble() < 0.5) {
            steps.add(new Step(0, Action.NETWORK, List.of(), List.of(0.3 * random.nextDouble(), leaseMs * 0.1 * random.nextDouble(),
                    0.3 * random.nextDouble())));
        }
        if (random.nextDouble() < 0.3) {
            steps.add(new Step(0, Action.NOISE, List.of(), List.of(0.2 * random.nextDouble(), 0.1 * random.nextDouble())));
        }
        for (double at = random.nextDouble() * leaseMs / 2; at < lengthMs; at += random.nextDouble() * leaseMs * 2 / 3) {
            // A fault at the holder says most.
            List<Integer> one = List.of(random.nextDouble() < 0.5 ? HOLDER : random.nextInt(proxies));
            double later = at + leaseMs * (0.2 + 2 * random.nextDouble());
            switch (random.nextInt(8)) {
                case 0, 1 -> {
                    steps.add(new Step(at, Action.STOP, one, List.of()));
                    steps.add(new Step(later, Action.CONTINUE, one, List.of()));
                }
                case 2 -> {
                    steps.add(new Step(at, Action.STOP, one, List.of()));
                    steps.add(new Step(later, Action.SLEEP, one, List.of()));
                }
                case 3 -> {
                    steps.add(new Step(at, Action.KILL, one, List.of()));
                    steps.add(new Step(at + 50, Action.START, one, List.of()));
                }
                case 4 -> {
                    steps.add(new Step(at, Action.TERM, one, List.of()));
                    steps.add(new Step(at + leaseMs, Action.START, one, List.of()));
                }
                case 5 -> {
                    steps.add(new Step(at, Action.ISOLATE, one, List.of()));
                    steps.add(new Step(later, Action.CLEAR, List.of(), List.of()));
                }
                case 6 -> {
                    for (int i = 0; i < proxies; i++) {
                        if (random.nextDouble() < 0.7) {
                            steps.add(new Step(at, Action.CUT, List.of(one.get(0), i), List.of()));
                        }
                    }
                    steps.add(new Step(later, Action.CLEAR, List.of(), List.of()));
                }
                default -> steps.add(new Step(at, Action.CLOCK, one, List.of(1 + drift * (random.nextInt(3) - 1))));
            }
        }
        return new Timeline(steps);
    }

    /** How many kinds of {@link #striking} there are. */
    public static final int STRIKES = 8;

    /**
     * A timeline that strikes the holder where a lease is weakest, of one kind of {@link #STRIKES}, while its clock is slow and the
     * others' are fast.
     */
    public static Timeline striking(int kind, int proxies, double leaseMs, double drift) {
        List<Integer> holder = List.of(HOLDER);
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < proxies; i++) {
            steps.add(new Step(0, Action.CLOCK, List.of(i), List.of(1 + drift)));
        }
        steps.add(new Step(1, Action.CLOCK, holder, List.of(1 - drift)));
        double at = leaseMs / 2;
        switch (kind) {
            case 0 -> {
                steps.add(new Step(at, Action.ISOLATE, holder, List.of()));
                steps.add(new Step(at + 2.5 * leaseMs, Action.CLEAR, List.of(), List.of()));
            }
            case 1 -> {
                steps.add(new Step(at, Action.STOP, holder, List.of()));
                steps.add(new Step(at + 1.5 * leaseMs, Action.CONTINUE, holder, List.of()));
                steps.add(new Step(at + 2 * leaseMs, Action.STOP, holder, List.of()));
                steps.add(new Step(at + 3.5 * leaseMs, Action.SLEEP, holder, List.of()));
            }
            case 2 -> {
                // All but the holder start anew, while nobody hears it.
                steps.add(new Step(at, Action.ISOLATE, holder, List.of()));
                for (int i = 1; i < proxies; i++) {
                    steps.add(new Step(at + 10, Action.KILL, List.of(NEXT_TO_HOLDER - i + 1), List.of()));
                    steps.add(new Step(at + 30, Action.START, List.of(NEXT_TO_HOLDER - i + 1), List.of()));
                }
                steps.add(new Step(at + 3 * leaseMs, Action.CLEAR, List.of(), List.of()));
            }
            case 3 -> steps.add(new Step(at, Action.NETWORK, List.of(), List.of(0.2, 0.9 * leaseMs, 0.5)));
            case 4 -> {
                steps.add(new Step(at, Action.NETWORK, List.of(), List.of(0.0, 0.6 * leaseMs, 0.3)));
                steps.add(new Step(at + leaseMs, Action.ISOLATE, holder, List.of()));
                steps.add(new Step(at + 3 * leaseMs, Action.CLEAR, List.of(), List.of()));
            }
            case 5 -> {
                for (int i = 0; i < 4; i++) {
                    steps.add(new Step(at + i * leaseMs, Action.TERM, holder, List.of()));
                    steps.add(new Step(at + i * leaseMs + 10, Action.START, holder, List.of()));
                }
            }
            case 6 -> {
                steps.add(new Step(at, Action.NOISE, List.of(), List.of(0.9, 0.1)));
                steps.add(new Step(at + leaseMs, Action.KILL, holder, List.of()));
                steps.add(new Step(at + leaseMs + 20, Action.START, holder, List.of()));
                steps.add(new Step(at + 3 * leaseMs, Action.ISOLATE, holder, List.of()));
                steps.add(new Step(at + 5 * leaseMs, Action.CLEAR, List.of(), List.of()));
            }
            default -> {
                // It is heard, and hears nobody; then the other way round.
                for (int i = 0; i < proxies; i++) {
                    steps.add(new Step(at, Action.CUT, List.of(i, HOLDER), List.of()));
                    steps.add(new Step(at + 4 * leaseMs, Action.CUT, List.of(HOLDER, i), List.of()));
                }
                steps.add(new Step(at + 2 * leaseMs, Action.CLEAR, List.of(), List.of()));
                steps.add(new Step(at + 6 * leaseMs, Action.CLEAR, List.of(), List.of()));
            }
        }
        return new Timeline(steps);
    }

    /** The same failure by fewer steps: each is left out where the rest still fails. */
    public Timeline shrunk(Predicate<Timeline> fails) {
        List<Step> kept = new ArrayList<>(steps);
        for (int i = kept.size() - 1; i >= 0; i--) {
            List<Step> without = new ArrayList<>(kept);
            without.remove(i);
            if (fails.test(new Timeline(without))) {
                kept = without;
            }
        }
        return new Timeline(kept);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        steps.forEach(s -> text.append(s).append('\n'));
        return text.toString();
    }
}

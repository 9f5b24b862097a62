package ridgemill.gateway.operator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;
import ridgemill.gateway.net.Addresses;

/**
 * One table of an operator file and what has been asked of it. Whoever owns a section asks for each key that it knows, by
 * name and kind; {@link #done} then tells of the keys that nobody asked for. What is wrong is noted and an absent value
 * goes on, so that all of a file's problems are found in one go.
 */
public final class Section {

    private static final Pattern DURATION = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)(ms|s|min)");
    private static final Pattern SIZE = Pattern.compile("([0-9]+)(B|KiB|MiB)");
    private static final Pattern RATE = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)/(s|min)");
    private static final double MS_PER_S = 1000;
    private static final double S_PER_MIN = 60;
    private static final long KIB = 1024;

    private final String file;
    private final String name;
    private final TomlTable table;
    private final int line;
    private final int column;
    private final List<Problem> problems;
    private final Set<String> known = new TreeSet<>();

    Section(String file, String name, TomlTable table, int line, int column, List<Problem> problems) {
        this.file = file;
        this.name = name;
        this.table = table;
        this.line = line;
        this.column = column;
        this.problems = problems;
    }

    /** As messages call it, such as {@code classes.recharge-credit}. */
    public String name() {
        return name;
    }

    /** Whether the key stands in the file. */
    public boolean has(String key) {
        known.add(key);
        return table.contains(List.of(key));
    }

    /** The keys that stand in it. */
    public List<String> keys() {
        return List.copyOf(table.keySet());
    }

    /** Notes a problem at a key, or at the section itself where the key is null or absent. */
    public void problem(String key, String rule, String reason, String wayOut) {
        TomlPosition at = key == null || !table.contains(List.of(key)) ? null : table.inputPositionOf(List.of(key));
        String where = key == null ? name : name.isEmpty() ? key : name + "." + key;
        problems.add(new Problem(file, at == null ? line : at.line(), at == null ? column : at.column(), rule,
                where + ": " + reason, wayOut));
    }

    private <T> Optional<T> value(String key, Class<T> kind, String wanted) {
        if (!has(key)) {
            return Optional.empty();
        }
        Object value = table.get(List.of(key));
        if (!kind.isInstance(value)) {
            problem(key, "wrong-kind", "is no " + wanted, "give " + wanted);
            return Optional.empty();
        }
        return Optional.of(kind.cast(value));
    }

    /** A text. */
    public Optional<String> text(String key) {
        return value(key, String.class, "text in quotes");
    }

    /** A numeric address and port. */
    public Optional<InetSocketAddress> address(String key) {
        return text(key).flatMap(text -> {
            try {
                return Optional.of(Addresses.parse(text));
            } catch (IllegalArgumentException e) {
                problem(key, "bad-address", e.getMessage(), "write it as \"127.0.0.1:9000\"; no name is looked up");
                return Optional.empty();
            }
        });
    }

    /** One of a few words. */
    public Optional<String> word(String key, List<String> words) {
        Optional<String> text = text(key);
        if (text.isPresent() && !words.contains(text.get())) {
            problem(key, "unknown-word", "\"" + text.get() + "\" is none of " + String.join(", ", words),
                    "did you mean \"" + Nearest.of(text.get(), words) + "\"?");
            return Optional.empty();
        }
        return text;
    }

    /** True or false. */
    public Optional<Boolean> flag(String key) {
        return value(key, Boolean.class, "true or false");
    }

    /** A whole number between two bounds, which it may equal. */
    public Optional<Integer> count(String key, int least, int most) {
        Optional<Long> number = value(key, Long.class, "whole number");
        if (number.isPresent() && (number.get() < least || number.get() > most)) {
            problem(key, "out-of-range", number.get() + " is not from " + least + " to " + most,
                    "give a number in that range");
            return Optional.empty();
        }
        return number.map(Long::intValue);
    }

    /** A number between two bounds, which it may equal. */
    public Optional<Double> number(String key, double least, double most) {
        Optional<Number> number = value(key, Number.class, "number");
        if (number.isPresent() && !(number.get().doubleValue() >= least && number.get().doubleValue() <= most)) {
            problem(key, "out-of-range", number.get() + " is not from " + least + " to " + most,
                    "give a number in that range");
            return Optional.empty();
        }
        return number.map(Number::doubleValue);
    }

    private Optional<Matcher> unit(String key, Pattern pattern, String examples) {
        if (!has(key)) {
            return Optional.empty();
        }
        Object value = table.get(List.of(key));
        if (value instanceof Number n) {
            problem(key, "no-unit", n + " has no unit", "write it with one, as " + examples);
            return Optional.empty();
        }
        Matcher matcher = pattern.matcher(String.valueOf(value));
        if (!(value instanceof String) || !matcher.matches()) {
            problem(key, "wrong-unit", "\"" + value + "\" can't be read", "write it as " + examples);
            return Optional.empty();
        }
        return Optional.of(matcher);
    }

    /** A time such as {@code "250ms"}, {@code "2s"} or {@code "1min"}, in milliseconds; greater than 0. */
    public Optional<Double> duration(String key) {
        Optional<Double> ms = unit(key, DURATION, "\"250ms\", \"2s\" or \"1min\"").map(m -> Double.parseDouble(m.group(1))
                * switch (m.group(2)) {
                    case "ms" -> 1;
                    case "s" -> MS_PER_S;
                    default -> MS_PER_S * S_PER_MIN;
                });
        return positive(key, ms, "a time");
    }

    /** A size such as {@code "512B"}, {@code "64KiB"} or {@code "1MiB"}, in bytes; greater than 0. */
    public Optional<Long> size(String key) {
        Optional<Double> bytes = unit(key, SIZE, "\"512B\", \"64KiB\" or \"1MiB\"").map(m -> Double.parseDouble(m.group(1))
                * switch (m.group(2)) {
                    case "B" -> 1;
                    case "KiB" -> KIB;
                    default -> KIB * KIB;
                });
        return positive(key, bytes, "a size").map(Double::longValue);
    }

    /** A rate such as {@code "50/s"} or {@code "90/min"}, per second; greater than 0. */
    public Optional<Double> rate(String key) {
        Optional<Double> perS = unit(key, RATE, "\"50/s\" or \"90/min\"").map(m -> Double.parseDouble(m.group(1))
                / (m.group(2).equals("s") ? 1 : S_PER_MIN));
        return positive(key, perS, "a rate");
    }

    private Optional<Double> positive(String key, Optional<Double> value, String what) {
        if (value.isPresent() && !(value.get() > 0)) {
            problem(key, "refuses-everything", what + " of 0 refuses everything", "give one that is greater, or leave it out");
            return Optional.empty();
        }
        return value;
    }

    /** A list of texts. */
    public List<String> texts(String key) {
        Optional<TomlArray> array = value(key, TomlArray.class, "list of texts");
        List<String> texts = new ArrayList<>();
        array.ifPresent(a -> {
            for (int i = 0; i < a.size(); i++) {
                if (a.get(i) instanceof String text) {
                    texts.add(text);
                } else {
                    problem(key, "wrong-kind", "is no list of texts", "put each text in quotes");
                }
            }
        });
        return texts;
    }

    /** A table inside this one. */
    public Optional<Section> table(String key) {
        return value(key, TomlTable.class, "table").map(t -> inner(key, t, table.inputPositionOf(List.of(key))));
    }

    /** All tables inside this one, where every key is a name that the operator chose. */
    public List<Section> tables() {
        List<Section> inner = new ArrayList<>();
        for (String key : keys()) {
            table(key).ifPresent(inner::add);
        }
        return inner;
    }

    /** A list of tables, such as {@code [[route]]}. */
    public List<Section> list(String key) {
        List<Section> inner = new ArrayList<>();
        value(key, TomlArray.class, "list of tables, each under [[" + key + "]]").ifPresent(a -> {
            for (int i = 0; i < a.size(); i++) {
                if (a.get(i) instanceof TomlTable t) {
                    inner.add(inner(key + "[" + i + "]", t, a.inputPositionOf(i)));
                } else {
                    problem(key, "wrong-kind", "is no list of tables", "put each under [[" + key + "]]");
                }
            }
        });
        return inner;
    }

    private Section inner(String key, TomlTable t, TomlPosition at) {
        return new Section(file, name.isEmpty() ? key : name + "." + key, t, at == null ? line : at.line(),
                at == null ? column : at.column(), problems);
    }

    /** The last name of this section: what an operator called it. */
    public String ownName() {
        return name.substring(name.lastIndexOf('.') + 1);
    }

    /** Tells of each key that nobody asked for. */
    public void done() {
        for (String key : keys()) {
            if (!known.contains(key)) {
                problem(key, "unknown-key", "nobody knows this key", "did you mean \"" + Nearest.of(key, known) + "\"?");
            }
        }
    }
}

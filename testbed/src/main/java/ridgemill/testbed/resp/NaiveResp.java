package ridgemill.testbed.resp;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The Redis serialization protocol as its specification reads, by recursion over an array that holds all: what the
 * gateway's own parser is held against, and what stand-ins read with. It copies, and bounds nothing but its input.
 */
public final class NaiveResp {

    /**
     * A value: its type's first byte, and its text or its parts. Nulls of both versions have type {@code _}; streamed
     * strings and aggregates that of whole ones; attributes stand before the value that they belong to, as parts of
     * {@code |}.
     */
    public record Value(char type, String text, List<Value> parts) {

        /** A value that holds no others. */
        public static Value of(char type, String text) {
            return new Value(type, text, List.of());
        }

        /** One line that tells all of it. */
        @Override
        public String toString() {
            return parts.isEmpty() ? type + "<" + text + ">" : type + parts.toString();
        }
    }

    /** The bytes end within a value. */
    public static final class More extends Exception {
        private static final long serialVersionUID = 1L;
    }

    /** The bytes are no value. */
    public static final class Bad extends Exception {
        private static final long serialVersionUID = 1L;

        Bad(String what) {
            super(what);
        }
    }

    /** A command's bytes, as text of one character a byte. */
    public static String command(List<String> words) {
        StringBuilder text = new StringBuilder("*" + words.size() + "\r\n");
        words.forEach(w ->
                text.append('$').append(w.length()).append("\r\n").append(w).append("\r\n"));
        return text.toString();
    }

    /** Reads the next value and no byte further; null when the other side has ended first. */
    public static Value read(InputStream in) throws IOException {
        ByteArrayOutputStream came = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            came.write(b);
            try {
                return new NaiveResp(came.toByteArray()).next();
            } catch (More e) {
                continue;
            } catch (Bad e) {
                throw new IOException(came.toString(StandardCharsets.ISO_8859_1), e);
            }
        }
        return null;
    }

    private final byte[] bytes;
    private int at;

    public NaiveResp(byte[] bytes) {
        this.bytes = bytes.clone();
    }

    /** How many bytes have been read. */
    public int read() {
        return at;
    }

    /** The next value; nothing is read where it is not whole. */
    public Value next() throws More, Bad {
        int before = at;
        try {
            return value(true);
        } catch (More e) {
            at = before;
            throw e;
        }
    }

    private Value value(boolean top) throws More, Bad {
        String line = line();
        if (line.isEmpty()) {
            throw new Bad("empty");
        }
        String rest = line.substring(1);
        char type = line.charAt(0);
        switch (type) {
            case '+', '-':
                return Value.of(type, utf8(rest));
            case ':':
                return Value.of(type, String.valueOf(number(rest)));
            case '_':
                check(rest.isEmpty());
                return Value.of('_', "");
            case '#':
                check(rest.equals("t") || rest.equals("f"));
                return Value.of(type, rest);
            case ',':
                check(List.of("inf", "-inf", "nan", "-nan").contains(rest)
                        || rest.matches("[+-]?([0-9]+(\\.[0-9]*)?|\\.[0-9]+)([eE][+-]?[0-9]+)?"));
                return Value.of(type, decimal(rest));
            case '(':
                check(rest.matches("[+-]?[0-9]+"));
                return Value.of(type, new java.math.BigInteger(rest).toString());
            case '$', '!', '=':
                return blob(type, rest);
            case '*', '~', '%', '>':
                check(type != '>' || top);
                return aggregate(type, rest);
            case '|':
                List<Value> pairs = parts(2 * length(rest));
                Value of = value(false);
                check(of.type() != '|');
                return new Value('|', "", List.of(new Value('%', "", pairs), of));
            default:
                throw new Bad("type " + type);
        }
    }

    private Value blob(char type, String rest) throws More, Bad {
        if (type == '$' && rest.equals("-1")) {
            return Value.of('_', "");
        }
        if (type == '$' && rest.equals("?")) {
            StringBuilder all = new StringBuilder();
            while (true) {
                String head = line();
                check(head.startsWith(";"));
                int length = length(head.substring(1));
                if (length == 0) {
                    return Value.of('$', all.toString());
                }
                all.append(payload(length));
            }
        }
        String text = payload(length(rest));
        check(type != '=' || text.length() >= 4 && text.charAt(3) == ':');
        return type == '!' ? Value.of('-', utf8(text)) : Value.of(type, text);
    }

    private Value aggregate(char type, String rest) throws More, Bad {
        if (type == '*' && rest.equals("-1")) {
            return Value.of('_', "");
        }
        List<Value> parts = new ArrayList<>();
        if (rest.equals("?") && type != '>') {
            while (true) {
                if (at < bytes.length && bytes[at] == '.') {
                    check(line().equals("."));
                    check(type != '%' || parts.size() % 2 == 0);
                    return new Value(type, "", parts);
                }
                parts.add(value(false));
            }
        }
        return new Value(type, "", parts((type == '%' ? 2 : 1) * length(rest)));
    }

    private List<Value> parts(int count) throws More, Bad {
        List<Value> parts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            parts.add(value(false));
        }
        return parts;
    }

    private String line() throws More, Bad {
        for (int i = at; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                check(i > at && bytes[i - 1] == '\r');
                String line = new String(bytes, at, i - 1 - at, StandardCharsets.ISO_8859_1);
                check(line.indexOf('\r') < 0);
                at = i + 1;
                return line;
            }
        }
        throw new More();
    }

    private String payload(int length) throws More, Bad {
        if (bytes.length - at < length + 2) {
            throw new More();
        }
        check(bytes[at + length] == '\r' && bytes[at + length + 1] == '\n');
        String text = new String(bytes, at, length, StandardCharsets.ISO_8859_1);
        at += length + 2;
        return text;
    }

    private static String utf8(String bytes) {
        return new String(bytes.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }

    private static int length(String text) throws Bad {
        long n = number(text);
        check(n >= 0 && n <= Integer.MAX_VALUE - 2);
        return (int) n;
    }

    private static long number(String text) throws Bad {
        check(text.matches("-?[0-9]{1,19}"));
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new Bad("number");
        }
    }

    private static String decimal(String text) {
        return switch (text) {
            case "inf" -> "Infinity";
            case "-inf" -> "-Infinity";
            case "nan", "-nan" -> "NaN";
            default -> String.valueOf(Double.parseDouble(text));
        };
    }

    private static void check(boolean good) throws Bad {
        if (!good) {
            throw new Bad("malformed");
        }
    }
}

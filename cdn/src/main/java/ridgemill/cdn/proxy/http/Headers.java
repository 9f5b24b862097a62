package ridgemill.cdn.proxy.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Header lines in their original order; names are compared case-insensitively. */
public final class Headers {

    private static final String[] HOP_BY_HOP = {
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
        "Expect"
    };

    private final List<String> lines;

    public Headers() {
        this(new ArrayList<>());
    }

    private Headers(List<String> lines) {
        this.lines = lines;
    }

    /** Creates headers from alternating names and values. */
    public static Headers of(List<String> namesAndValues) {
        return new Headers(new ArrayList<>(namesAndValues));
    }

    /** Adds a line. */
    public Headers add(String name, String value) {
        lines.add(name);
        lines.add(value);
        return this;
    }

    /** Replaces all lines of a name by one line. */
    public Headers set(String name, String value) {
        remove(name);
        return add(name, value);
    }

    /** Removes all lines of a name. */
    public Headers remove(String name) {
        for (int i = lines.size() - 2; i >= 0; i -= 2) {
            if (lines.get(i).equalsIgnoreCase(name)) {
                lines.remove(i + 1);
                lines.remove(i);
            }
        }
        return this;
    }

    /** The value of the first line with a name; null if there is none. */
    public String get(String name) {
        for (int i = 0; i < lines.size(); i += 2) {
            if (lines.get(i).equalsIgnoreCase(name)) {
                return lines.get(i + 1);
            }
        }
        return null;
    }

    /** The number of lines with a name. */
    public int count(String name) {
        int count = 0;
        for (int i = 0; i < lines.size(); i += 2) {
            count += lines.get(i).equalsIgnoreCase(name) ? 1 : 0;
        }
        return count;
    }

    /** Alternating names and values. */
    public List<String> lines() {
        return lines;
    }

    /** Whether a line with this name contains this list element; {@code word} is in lower case. */
    public boolean containsToken(String name, String word) {
        for (int i = 0; i < lines.size(); i += 2) {
            if (lines.get(i).equalsIgnoreCase(name) && hasListElement(lines.get(i + 1), word)) {
                return true;
            }
        }
        return false;
    }

    /** A copy without the hop-by-hop headers and without Content-Length. */
    public Headers endToEnd() {
        Headers kept = new Headers(new ArrayList<>(lines.size() + 8));
        boolean hasConnection = get("Connection") != null;
        for (int i = 0; i < lines.size(); i += 2) {
            String name = lines.get(i);
            if (!isHopByHop(name) && !(hasConnection && containsToken("Connection", name.toLowerCase(Locale.ROOT)))) {
                kept.add(name, lines.get(i + 1));
            }
        }
        return kept;
    }

    private static boolean isHopByHop(String name) {
        for (String hop : HOP_BY_HOP) {
            if (hop.equalsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasListElement(String value, String word) {
        int start = 0;
        while (start <= value.length()) {
            int comma = value.indexOf(',', start);
            int end = comma < 0 ? value.length() : comma;
            if (value.substring(start, end).trim().equalsIgnoreCase(word)) {
                return true;
            }
            start = end + 1;
        }
        return false;
    }
}

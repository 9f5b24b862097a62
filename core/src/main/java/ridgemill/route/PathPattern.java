package ridgemill.route;

import java.util.ArrayList;
import java.util.List;

/**
 * The paths that a route takes, segment by segment; {@code /} parts segments and a segment may be empty, as in RFC 3986,
 * section 3.3.
 *
 * <ul>
 *   <li>{@code /api/up} is that path alone;
 *   <li>{@code /api/{meter}/balance} has any one non-empty segment in place of {@code {meter}};
 *   <li>{@code /api/**} is {@code /api} and every path below it.
 * </ul>
 *
 * @param text as it was written
 * @param segments literals, and {@code null} for any one segment
 * @param prefix whether every path below is taken too
 */
public record PathPattern(String text, List<String> segments, boolean prefix) {

    /** More segments than this are no path that anyone means. */
    public static final int MAX_SEGMENTS = 32;
    private static final String BELOW = "**";

    public PathPattern {
        // List.copyOf refuses the null that stands for any segment.
        segments = java.util.Collections.unmodifiableList(new ArrayList<>(segments));
    }

    /** Reads a pattern; throws {@link IllegalArgumentException} with the reason where it is none. */
    public static PathPattern parse(String text) {
        if (!text.startsWith("/")) {
            throw new IllegalArgumentException("a path begins with /: " + text);
        }
        if (text.indexOf('?') >= 0 || text.indexOf('#') >= 0) {
            throw new IllegalArgumentException("a path has no query and no fragment: " + text);
        }
        List<String> parts = split(text);
        boolean open = parts.get(parts.size() - 1).equals(BELOW);
        List<String> segments = new ArrayList<>();
        for (String part : open ? parts.subList(0, parts.size() - 1) : parts) {
            segments.add(segment(part, text));
        }
        if (segments.size() > MAX_SEGMENTS) {
            throw new IllegalArgumentException("more than " + MAX_SEGMENTS + " segments: " + text);
        }
        return new PathPattern(text, segments, open);
    }

    private static String segment(String part, String text) {
        boolean named = part.startsWith("{") && part.endsWith("}") && part.length() > 2;
        if (named) {
            return null;
        }
        if (part.indexOf('{') >= 0 || part.indexOf('}') >= 0 || part.indexOf('*') >= 0) {
            throw new IllegalArgumentException("a segment is a literal, {name}, or ** at the end, not " + part + ": " + text);
        }
        return part;
    }

    /** The segments of a path that begins with {@code /}. */
    static List<String> split(String path) {
        List<String> parts = new ArrayList<>();
        int from = 1;
        for (int slash = path.indexOf('/', from); slash >= 0; slash = path.indexOf('/', from)) {
            parts.add(path.substring(from, slash));
            from = slash + 1;
        }
        parts.add(path.substring(from));
        return parts;
    }

    /** Whether a path is one of these; the slow way, by which the compiled table is checked. */
    public boolean matches(String path) {
        List<String> parts = split(path);
        if (prefix ? parts.size() < segments.size() : parts.size() != segments.size()) {
            return false;
        }
        for (int i = 0; i < segments.size(); i++) {
            String wanted = segments.get(i);
            if (wanted == null ? parts.get(i).isEmpty() : !wanted.equals(parts.get(i))) {
                return false;
            }
        }
        return true;
    }

    /** A path that it takes. */
    public String example() {
        StringBuilder path = new StringBuilder();
        for (String segment : segments) {
            path.append('/').append(segment == null ? "x" : segment);
        }
        return path.length() == 0 ? "/" : path.toString();
    }

    /**
     * Which of two patterns that take one path is the more specific: positive if this one is. At the first segment in
     * which they differ a literal goes before any segment; a longer one before a shorter; a closed one before an open.
     */
    public int compareSpecificity(PathPattern other) {
        int common = Math.min(segments.size(), other.segments.size());
        for (int i = 0; i < common; i++) {
            boolean literal = segments.get(i) != null;
            if (literal != (other.segments.get(i) != null)) {
                return literal ? 1 : -1;
            }
        }
        if (segments.size() != other.segments.size()) {
            return Integer.compare(segments.size(), other.segments.size());
        }
        return Boolean.compare(other.prefix, prefix);
    }

    /** Whether some path is taken by both. */
    public boolean overlaps(PathPattern other) {
        int common = Math.min(segments.size(), other.segments.size());
        for (int i = 0; i < common; i++) {
            String a = segments.get(i);
            String b = other.segments.get(i);
            boolean apart = a == null ? b != null && b.isEmpty() : b == null ? a.isEmpty() : !a.equals(b);
            if (apart) {
                return false;
            }
        }
        return segments.size() == other.segments.size() || (segments.size() < other.segments.size() ? prefix : other.prefix);
    }
}

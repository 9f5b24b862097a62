package ridgemill.route;

import java.util.ArrayList;
import java.util.List;

/**
 * A pattern of paths, compared segment by segment. Segments are separated by {@code /} and may be empty, as in
 * RFC 3986, section 3.3.
 *
 * <ul>
 *   <li>{@code /api/up} matches only that path;
 *   <li>{@code /api/{meter}/balance} matches any one non-empty segment in place of {@code {meter}};
 *   <li>{@code /api/**} matches {@code /api} and every path below it.
 * </ul>
 *
 * @param text the pattern as written
 * @param segments literals, or {@code null} for any one non-empty segment
 * @param prefix whether the pattern also matches every path below
 */
public record PathPattern(String text, List<String> segments, boolean prefix) {

    /** Maximum number of segments; longer patterns are taken for mistakes. */
    public static final int MAX_SEGMENTS = 32;
    private static final String PREFIX_SUFFIX = "**";

    /** Copies the segments. */
    public PathPattern {
        // List.copyOf does not accept the null elements.
        segments = java.util.Collections.unmodifiableList(new ArrayList<>(segments));
    }

    /**
     * Parses a pattern.
     *
     * @throws IllegalArgumentException with the reason, if the text is not a pattern
     */
    public static PathPattern parse(String text) {
        if (!text.startsWith("/")) {
            throw new IllegalArgumentException("a path begins with /: " + text);
        }
        if (text.indexOf('?') >= 0 || text.indexOf('#') >= 0) {
            throw new IllegalArgumentException("a path has no query and no fragment: " + text);
        }
        List<String> parts = split(text);
        boolean prefix = parts.get(parts.size() - 1).equals(PREFIX_SUFFIX);
        List<String> segments = new ArrayList<>();
        for (String part : prefix ? parts.subList(0, parts.size() - 1) : parts) {
            segments.add(parseSegment(part, text));
        }
        if (segments.size() > MAX_SEGMENTS) {
            throw new IllegalArgumentException("more than " + MAX_SEGMENTS + " segments: " + text);
        }
        return new PathPattern(text, segments, prefix);
    }

    private static String parseSegment(String part, String text) {
        boolean isTemplate = part.startsWith("{") && part.endsWith("}") && part.length() > 2;
        if (isTemplate) {
            return null;
        }
        if (part.indexOf('{') >= 0 || part.indexOf('}') >= 0 || part.indexOf('*') >= 0) {
            throw new IllegalArgumentException(
                    "a segment is a literal, {name}, or ** at the end, not " + part + ": " + text);
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

    /** Whether a path matches. Slower than {@link RouteTable}, whose results tests compare with this. */
    public boolean matches(String path) {
        List<String> parts = split(path);
        if (prefix ? parts.size() < segments.size() : parts.size() != segments.size()) {
            return false;
        }
        for (int i = 0; i < segments.size(); i++) {
            String expected = segments.get(i);
            if (expected == null ? parts.get(i).isEmpty() : !expected.equals(parts.get(i))) {
                return false;
            }
        }
        return true;
    }

    /** An example of a path that matches. */
    public String example() {
        StringBuilder path = new StringBuilder();
        for (String segment : segments) {
            path.append('/').append(segment == null ? "x" : segment);
        }
        return path.length() == 0 ? "/" : path.toString();
    }

    /**
     * Compares the specificity of two patterns that match the same path: positive if this one is more specific. At the
     * first segment where they differ a literal wins over a template; then a longer pattern over a shorter one; then a
     * pattern without {@code **} over one with it.
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

    /** Whether some path matches both patterns. */
    public boolean overlaps(PathPattern other) {
        int common = Math.min(segments.size(), other.segments.size());
        for (int i = 0; i < common; i++) {
            String a = segments.get(i);
            String b = other.segments.get(i);
            boolean disjoint = a == null ? b != null && b.isEmpty() : b == null ? a.isEmpty() : !a.equals(b);
            if (disjoint) {
                return false;
            }
        }
        return segments.size() == other.segments.size()
                || (segments.size() < other.segments.size() ? prefix : other.prefix);
    }
}

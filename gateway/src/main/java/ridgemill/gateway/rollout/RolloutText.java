package ridgemill.gateway.rollout;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import ridgemill.version.EffectiveVersion;

/**
 * An operator file's text as it goes from proxy to proxy: without the sections that are each proxy's own, which stay where they are.
 * A section begins at its header's line and ends before the next header's.
 */
public final class RolloutText {

    private static final Pattern HEADER = Pattern.compile("\\s*\\[\\[?\\s*([A-Za-z0-9_.\"-]+)\\s*]]?\\s*(#.*)?");
    private static final Pattern VERSION = Pattern.compile("\\s*version\\s*=\\s*[0-9_]+\\s*(#.*)?");

    private RolloutText() { }

    /** What is the same for all proxies. */
    public static String sharedPart(String text) {
        return part(text, false);
    }

    /** What is this proxy's own. */
    public static String localPart(String text) {
        return part(text, true);
    }

    private static String part(String text, boolean own) {
        StringBuilder part = new StringBuilder();
        boolean in = false;
        for (String line : text.split("\\R", -1)) {
            Matcher header = HEADER.matcher(line);
            if (header.matches()) {
                in = EffectiveVersion.LOCAL_SECTIONS.contains(header.group(1));
            }
            if (in == own && !(line.isEmpty() && part.isEmpty())) {
                part.append(line).append('\n');
            }
        }
        return part.toString().stripTrailing() + "\n";
    }

    /** A text that came, with what is this proxy's own. */
    public static String join(String shared, String own) {
        return own.isBlank() ? shared : shared + "\n" + own;
    }

    /** The same under another number; throws where the text has no line {@code version = N} before its first section. */
    public static String withVersion(String shared, int version) {
        StringBuilder text = new StringBuilder();
        boolean found = false;
        boolean inSection = false;
        for (String line : shared.split("\\R", -1)) {
            inSection |= HEADER.matcher(line).matches();
            boolean here = !found && !inSection && VERSION.matcher(line).matches();
            found |= here;
            text.append(here ? "version = " + version : line).append('\n');
        }
        if (!found) {
            throw new IllegalArgumentException("has no line \"version = N\" before its first section");
        }
        return text.toString().stripTrailing() + "\n";
    }
}

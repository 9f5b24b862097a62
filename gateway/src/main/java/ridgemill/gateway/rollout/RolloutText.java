package ridgemill.gateway.rollout;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import ridgemill.version.EffectiveVersion;

/**
 * Splits the text of an operator file into the part that rollouts send to all proxies and the sections that are local
 * to one proxy. A section starts at the line of its header and ends before the next header.
 */
public final class RolloutText {

    private static final Pattern HEADER = Pattern.compile("\\s*\\[\\[?\\s*([A-Za-z0-9_.\"-]+)\\s*]]?\\s*(#.*)?");
    private static final Pattern VERSION = Pattern.compile("\\s*version\\s*=\\s*[0-9_]+\\s*(#.*)?");

    private RolloutText() { }

    /** Returns the part of the text that is the same for all proxies. */
    public static String sharedPart(String text) {
        return part(text, false);
    }

    /** Returns the sections that are local to this proxy. */
    public static String localPart(String text) {
        return part(text, true);
    }

    private static String part(String text, boolean local) {
        StringBuilder part = new StringBuilder();
        boolean inLocalSection = false;
        for (String line : text.split("\\R", -1)) {
            Matcher header = HEADER.matcher(line);
            if (header.matches()) {
                inLocalSection = EffectiveVersion.LOCAL_SECTIONS.contains(header.group(1));
            }
            if (inLocalSection == local && !(line.isEmpty() && part.isEmpty())) {
                part.append(line).append('\n');
            }
        }
        return part.toString().stripTrailing() + "\n";
    }

    /** Joins a received shared part and the local sections of this proxy. */
    public static String join(String shared, String local) {
        return local.isBlank() ? shared : shared + "\n" + local;
    }

    /**
     * Returns the text with another version number.
     *
     * @throws IllegalArgumentException if the text has no line {@code version = N} before its first section
     */
    public static String withVersion(String shared, int version) {
        StringBuilder text = new StringBuilder();
        boolean found = false;
        boolean inSection = false;
        for (String line : shared.split("\\R", -1)) {
            inSection |= HEADER.matcher(line).matches();
            boolean isVersionLine = !found && !inSection && VERSION.matcher(line).matches();
            found |= isVersionLine;
            text.append(isVersionLine ? "version = " + version : line).append('\n');
        }
        if (!found) {
            throw new IllegalArgumentException("has no line \"version = N\" before its first section");
        }
        return text.toString().stripTrailing() + "\n";
    }
}

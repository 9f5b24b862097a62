package ridgemill.gateway.operator;

import java.util.Collection;
import java.util.Comparator;

/** The known name that is nearest to one that somebody wrote. */
final class Nearest {

    private Nearest() { }

    static String of(String written, Collection<String> known) {
        return known.stream().min(Comparator.comparingInt((String k) -> distance(written, k))
                .thenComparing(Comparator.naturalOrder())).orElse("");
    }

    /** Levenshtein's distance: how many characters must be put in, left out or changed. */
    static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int above = row[j];
                int changed = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(changed, 1 + Math.min(above, row[j - 1]));
                diagonal = above;
            }
        }
        return row[b.length()];
    }
}

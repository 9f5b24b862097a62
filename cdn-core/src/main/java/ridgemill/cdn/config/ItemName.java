package ridgemill.cdn.config;

import java.util.Comparator;

/**
 * Identifies an item of the configuration.
 *
 * @param kind the table that holds the item
 * @param name the item's name in that table; empty for {@link ItemKind#LIMITS}
 */
public record ItemName(ItemKind kind, String name) implements Comparable<ItemName> {

    private static final Comparator<ItemName> ORDER =
            Comparator.comparing(ItemName::kind).thenComparing(ItemName::name);

    /** The name of the limits item. */
    public static final ItemName LIMITS = new ItemName(ItemKind.LIMITS, "");

    @Override
    public int compareTo(ItemName other) {
        return ORDER.compare(this, other);
    }
}

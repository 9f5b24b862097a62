package ridgemill.cdn.config;

import java.util.Objects;

/**
 * One version of one configuration item, as it is stored and replicated.
 *
 * @param name which item
 * @param version the operator's version number; the highest one wins, whether it sets or drops the item
 * @param content the item as JSON text exactly as the operator sent it, or null if this version drops the item
 */
public record Item(ItemName name, long version, String content) {

    public Item {
        Objects.requireNonNull(name, "name");
    }

    /** Whether this version removes the item. */
    public boolean isDrop() {
        return content == null;
    }

    /**
     * Whether this version replaces the other one. Two different contents under one version number are ordered by their
     * text, so that all replicas choose the same one in whichever order they arrive.
     */
    public boolean supersedes(Item other) {
        if (other == null) {
            return true;
        }
        if (version != other.version) {
            return version > other.version;
        }
        return rank().compareTo(other.rank()) > 0;
    }

    private String rank() {
        return content == null ? "" : content;
    }
}

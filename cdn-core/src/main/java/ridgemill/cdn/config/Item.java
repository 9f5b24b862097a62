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

    private static final long DIGEST_BASIS = 0xcbf29ce484222325L;
    private static final long DIGEST_PRIME = 0x100000001b3L;

    public Item {
        Objects.requireNonNull(name, "name");
    }

    /** Whether this version removes the item. */
    public boolean isTombstone() {
        return content == null;
    }

    /** Whether this version replaces the other one. No two contents are ever confirmed under one version. */
    public boolean supersedes(Item other) {
        return other == null || version > other.version;
    }

    /** A 64-bit digest (FNV-1a) of what this version sets, or that it drops the item; the same in every process. */
    public long contentDigest() {
        if (isTombstone()) {
            return 0;
        }
        long hash = DIGEST_BASIS;
        for (int i = 0; i < content.length(); i++) {
            hash = (hash ^ content.charAt(i)) * DIGEST_PRIME;
        }
        return hash;
    }
}

package ridgemill.cdn.config;

import java.util.Objects;

/**
 * One version of one configuration item, as it is stored and replicated.
 *
 * @param name the item's name
 * @param version the operator's version number; the highest one wins, whether it sets or removes the item
 * @param content the item as JSON text exactly as the operator sent it; null if this version removes the item
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

    /**
     * Whether this version replaces the other one, which may be null. Two contents are never confirmed under one
     * version.
     */
    public boolean supersedes(Item other) {
        return other == null || version > other.version;
    }

    /** A 64-bit digest (FNV-1a) of the content, the same in every process; 0 if this version removes the item. */
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

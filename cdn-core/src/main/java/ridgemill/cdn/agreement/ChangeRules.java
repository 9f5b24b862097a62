package ridgemill.cdn.agreement;

import java.util.Collection;
import java.util.Optional;
import ridgemill.cdn.config.Item;

/**
 * Checks that a configuration is consistent. Implementations keep an index of the items, so that checking a change
 * costs no more than the size of the change.
 */
public interface ChangeRules {

    /** Rebuilds the index from all items of a state. */
    void reset(Collection<Item> items);

    /** Applies changed items to the index. */
    void apply(Collection<Item> items);

    /**
     * Checks a change against the present items.
     *
     * @param items newer versions, each name once
     * @return a message that names the item and the reason; empty if the change is valid
     */
    Optional<String> validate(Collection<Item> items);
}

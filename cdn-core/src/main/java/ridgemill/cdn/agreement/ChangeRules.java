package ridgemill.cdn.agreement;

import java.util.Collection;
import java.util.Optional;
import ridgemill.cdn.config.Item;

/** Whether items hold together. An index that follows the items, so that a change costs no more than its own size. */
public interface ChangeRules {

    /** Begins anew with all items of a state. */
    void reset(Collection<Item> items);

    /** Items have changed. */
    void apply(Collection<Item> items);

    /**
     * Why items can't be changed so.
     *
     * @param items newer versions, each name once
     * @return the item and the reason in plain words; empty if the change is valid
     */
    Optional<String> validate(Collection<Item> items);
}

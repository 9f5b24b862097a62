package ridgemill.cdn.agreement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemName;
import ridgemill.cdn.config.VersionedItem;

/**
 * Evaluates changes one after another, each on top of those before it. A change is accepted whole or not at all. For
 * each name the highest version is in effect. A lower version changes nothing, but its content digest is recorded so
 * that no other content is confirmed under the same version later.
 */
final class ChangeEvaluator {

    /** The maximum size of all items together, in characters, so that a message can hold them. */
    static final long MAX_CHARACTERS = 4 << 20;

    private final ControlState state;
    private final ChangeRules rules;
    private final Map<ItemName, VersionedItem> changed = new LinkedHashMap<>();
    private long addedCharacters;

    /** Evaluates changes on top of a state, which is not modified. */
    ChangeEvaluator(ControlState state, ChangeRules rules) {
        this.state = state;
        this.rules = rules;
    }

    /** The items that were changed by all accepted changes. */
    Collection<VersionedItem> changedItems() {
        return changed.values();
    }

    /** Accepts a change, or returns the reason for refusing it. */
    ChangeResult evaluate(List<Item> items) {
        Map<ItemName, VersionedItem> entries = new LinkedHashMap<>();
        Map<ItemName, Item> newItems = new LinkedHashMap<>();
        for (Item item : items) {
            VersionedItem held = entries.getOrDefault(item.name(), held(item.name()));
            if (held != null && held.conflictsWith(item)) {
                return refused(ChangeResult.Outcome.CONFLICT, describe(item) + " is held with other content");
            }
            if (held == null) {
                entries.put(item.name(), VersionedItem.first(item));
                newItems.put(item.name(), item);
            } else if (item.version() > held.item().version()) {
                entries.put(item.name(), held.supersededBy(item));
                newItems.put(item.name(), item);
            } else if (!held.hasRecorded(item)) {
                entries.put(item.name(), held.withConfirmed(item));
            }
        }
        return newItems.isEmpty() ? accept(entries, newItems.values()) : check(entries, newItems.values());
    }

    private ChangeResult check(Map<ItemName, VersionedItem> entries, Collection<Item> newItems) {
        long added =
                entries.values().stream().mapToLong(ControlState::charactersOf).sum();
        if (state.characters() + addedCharacters + added > MAX_CHARACTERS) {
            return refused(ChangeResult.Outcome.INVALID, "the configuration would be too large");
        }
        Optional<String> fault = rules.validate(newItems);
        if (fault.isPresent()) {
            return refused(ChangeResult.Outcome.INVALID, fault.get());
        }
        addedCharacters += added;
        return accept(entries, newItems);
    }

    private ChangeResult accept(Map<ItemName, VersionedItem> entries, Collection<Item> newItems) {
        changed.putAll(entries);
        rules.apply(new ArrayList<>(newItems));
        return ChangeResult.CONFIRMED;
    }

    private VersionedItem held(ItemName name) {
        VersionedItem updated = changed.get(name);
        return updated == null ? state.get(name) : updated;
    }

    private static ChangeResult refused(ChangeResult.Outcome outcome, String reason) {
        return new ChangeResult(outcome, reason);
    }

    private static String describe(Item item) {
        return item.name().kind() + " " + item.name().name() + " version " + item.version();
    }
}

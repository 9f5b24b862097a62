package ridgemill.cdn.configuration;

import java.util.List;
import ridgemill.cdn.config.Item;

/**
 * A change of the configuration as an operator sent it, in a form that fits the schema.
 *
 * @param items the versions that set and drop items, in the order of the call
 */
public record ConfigurationChange(List<Item> items) {

    public ConfigurationChange {
        items = List.copyOf(items);
    }
}

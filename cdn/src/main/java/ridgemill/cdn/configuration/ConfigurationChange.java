package ridgemill.cdn.configuration;

import java.util.List;
import ridgemill.cdn.config.Item;

/**
 * A change of the configuration as sent by an operator, valid against the schema.
 *
 * @param items the versions that set and remove items, in the order of the request
 */
public record ConfigurationChange(List<Item> items) {

    public ConfigurationChange {
        items = List.copyOf(items);
    }
}

package ridgemill.cdn.configuration;

import io.vavr.control.Option;
import ridgemill.cdn.config.Destination;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemKind;
import ridgemill.cdn.config.Route;

/**
 * Checks rules of single items that the schema cannot express. Rules across items are checked where a change is
 * decided, see {@link ConfigurationRules}.
 */
public final class ChangeValidator {

    /** The maximum timeout of a route, in milliseconds. */
    private static final long MAX_TIMEOUT_MS = 600_000;

    /**
     * Checks each item of a change on its own.
     *
     * @return why the change is rejected, or none if it is valid
     */
    public Option<InvalidChange> check(ConfigurationChange change) {
        for (Item item : change.items()) {
            Option<InvalidChange> fault = checkItem(item);
            if (fault.isDefined()) {
                return fault;
            }
        }
        return Option.none();
    }

    private Option<InvalidChange> checkItem(Item item) {
        if (item.isTombstone() || item.name().kind() != ItemKind.ROUTE) {
            return Option.none();
        }
        Route route = ItemParser.route(item);
        if (route == null) {
            return invalid(item, "can't be read");
        }
        double total = 0;
        for (Destination destination : route.destinations()) {
            if (destination.weight() < 0) {
                return invalid(item, "a weight is below 0");
            }
            total += destination.weight();
        }
        if (!(total > 0)) {
            return invalid(item, "the weights add up to 0");
        }
        if (route.timeoutMs() > MAX_TIMEOUT_MS) {
            return invalid(item, "the timeout is over ten minutes");
        }
        return route.pathPrefix().startsWith("/") ? Option.none() : invalid(item, "the prefix starts with no slash");
    }

    private static Option<InvalidChange> invalid(Item item, String reason) {
        return Option.of(
                new InvalidChange(item.name().kind() + " " + item.name().name(), reason));
    }
}

package ridgemill.cdn.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemKind;
import ridgemill.cdn.config.ItemName;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.quorum.VoterSet;

/** What orders come to, one after another. */
class OrderEvaluatorTest {

    private ControlState state = new ControlState(Stamp.NONE, VoterSet.UNKNOWN, List.of());

    /** Takes an order and, if it is confirmed, goes on with the state that it leads to. */
    private OrderResult.Outcome take(Item... items) {
        ControlWorld.PlaceRules rules = new ControlWorld.PlaceRules(Mutant.NONE);
        rules.reset(state.items().stream().map(VersionedItem::item).toList());
        OrderEvaluator evaluator = new OrderEvaluator(state, rules);
        OrderResult result = evaluator.take(List.of(items));
        Stamp next = state.stamp().next(Ballot.NONE);
        state.apply(new Step(state.stamp(), next, VoterSet.UNKNOWN, new ArrayList<>(evaluator.changed())));
        return result.outcome();
    }

    private static Item route(String name, long version, String content) {
        return ControlWorld.route(name, version, content);
    }

    private String held(String name) {
        VersionedItem entry = state.get(new ItemName(ItemKind.ROUTE, name));
        return entry == null ? null : entry.item().content();
    }

    @Test
    void underOneVersionOneContentIsConfirmedForEver() {
        assertThat(take(route("r", 5, "-a"))).isEqualTo(OrderResult.Outcome.CONFIRMED);
        assertThat(take(route("r", 5, "-b"))).isEqualTo(OrderResult.Outcome.CONFLICT);
        assertThat(take(route("r", 5, null))).isEqualTo(OrderResult.Outcome.CONFLICT);
        assertThat(held("r")).isEqualTo("-a");
        assertThat(take(route("r", 8, "-c"))).isEqualTo(OrderResult.Outcome.CONFIRMED);
        assertThat(take(route("r", 5, "-b"))).isEqualTo(OrderResult.Outcome.CONFLICT);
        assertThat(take(route("r", 5, "-a"))).isEqualTo(OrderResult.Outcome.CONFIRMED);
        assertThat(held("r")).isEqualTo("-c");
    }

    @Test
    void aLowerVersionChangesNothingAndItsContentIsRememberedTheSame() {
        take(route("r", 8, "-c"));
        assertThat(take(route("r", 6, "-a"))).isEqualTo(OrderResult.Outcome.CONFIRMED);
        assertThat(held("r")).isEqualTo("-c");
        assertThat(take(route("r", 6, "-b"))).isEqualTo(OrderResult.Outcome.CONFLICT);
        assertThat(take(route("r", 6, "-a"))).isEqualTo(OrderResult.Outcome.CONFIRMED);
    }

    @Test
    void aCallIsTakenWholeOrNotAtAll() {
        take(route("r", 5, "-a"));
        assertThat(take(route("s", 1, "-x"), route("r", 5, "-b"))).isEqualTo(OrderResult.Outcome.CONFLICT);
        assertThat(held("s")).isNull();
        assertThat(take(route("s", 1, "p1"), route("t", 1, "p2"))).isEqualTo(OrderResult.Outcome.INVALID);
        assertThat(held("s")).isNull();
        assertThat(take(route("s", 1, "-x"), route("s", 1, null)))
                .as("two contents in one call")
                .isEqualTo(OrderResult.Outcome.CONFLICT);
    }

    @Test
    void ordersThatAreDecidedTogetherAreJudgedOneAfterTheOther() {
        OrderEvaluator evaluator = new OrderEvaluator(state, new ControlWorld.PlaceRules(Mutant.NONE));
        assertThat(evaluator.take(List.of(route("r", 1, "p1"))).outcome()).isEqualTo(OrderResult.Outcome.CONFIRMED);
        assertThat(evaluator.take(List.of(route("s", 1, "p2"))).outcome()).isEqualTo(OrderResult.Outcome.INVALID);
        assertThat(evaluator.take(List.of(route("r", 1, "q1"))).outcome()).isEqualTo(OrderResult.Outcome.CONFLICT);
        assertThat(evaluator.take(List.of(route("r", 2, "q1"))).outcome()).isEqualTo(OrderResult.Outcome.CONFIRMED);
        assertThat(evaluator.take(List.of(route("s", 1, "p2"))).outcome()).isEqualTo(OrderResult.Outcome.CONFIRMED);
        assertThat(evaluator.changed()).hasSize(2);
    }

    @Test
    void aConfigurationThatNoMessageCouldHoldIsRefused() {
        String large = "-" + "x".repeat((int) OrderEvaluator.MAX_CHARACTERS / 2);
        assertThat(take(route("r", 1, large))).isEqualTo(OrderResult.Outcome.CONFIRMED);
        assertThat(take(route("s", 1, large))).isEqualTo(OrderResult.Outcome.INVALID);
        assertThat(take(route("t", 1, "-small"))).isEqualTo(OrderResult.Outcome.CONFIRMED);
    }

    @Test
    void onlyTheHighestPastVersionsAreRemembered() {
        for (int version = 1; version <= VersionedItem.KEPT + 4; version++) {
            take(route("r", version, "-" + version));
        }
        VersionedItem entry = state.get(new ItemName(ItemKind.ROUTE, "r"));
        assertThat(entry.past()).hasSize(VersionedItem.KEPT);
        assertThat(take(route("r", entry.past().get(0).version(), "-other"))).isEqualTo(OrderResult.Outcome.CONFLICT);
        assertThat(take(route("r", 1, "-1"))).as("forgotten").isEqualTo(OrderResult.Outcome.CONFIRMED);
        assertThat(entry.past().get(0).version()).isGreaterThan(1);
    }
}

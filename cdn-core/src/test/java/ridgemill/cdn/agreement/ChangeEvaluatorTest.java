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

/** The evaluation of changes, one after another. */
class ChangeEvaluatorTest {

    private ControlState state = new ControlState(StateId.NONE, VoterSet.UNKNOWN, List.of());

    /** Evaluates a change and applies it to the state if it is confirmed. */
    private ChangeResult.Outcome submit(Item... items) {
        ClusterSimulation.UniquePlaceRules rules = new ClusterSimulation.UniquePlaceRules(Mutation.NONE);
        rules.reset(state.items().stream().map(VersionedItem::item).toList());
        ChangeEvaluator evaluator = new ChangeEvaluator(state, rules);
        ChangeResult result = evaluator.evaluate(List.of(items));
        StateId next = state.id().next(Ballot.NONE);
        state.apply(new StateDelta(state.id(), next, VoterSet.UNKNOWN, new ArrayList<>(evaluator.changedItems())));
        return result.outcome();
    }

    private static Item route(String name, long version, String content) {
        return ClusterSimulation.route(name, version, content);
    }

    private String heldContent(String name) {
        VersionedItem entry = state.get(new ItemName(ItemKind.ROUTE, name));
        return entry == null ? null : entry.item().content();
    }

    @Test
    void onlyOneContentIsConfirmedPerVersion() {
        assertThat(submit(route("r", 5, "-a"))).isEqualTo(ChangeResult.Outcome.CONFIRMED);
        assertThat(submit(route("r", 5, "-b"))).isEqualTo(ChangeResult.Outcome.CONFLICT);
        assertThat(submit(route("r", 5, null))).isEqualTo(ChangeResult.Outcome.CONFLICT);
        assertThat(heldContent("r")).isEqualTo("-a");
        assertThat(submit(route("r", 8, "-c"))).isEqualTo(ChangeResult.Outcome.CONFIRMED);
        assertThat(submit(route("r", 5, "-b"))).isEqualTo(ChangeResult.Outcome.CONFLICT);
        assertThat(submit(route("r", 5, "-a"))).isEqualTo(ChangeResult.Outcome.CONFIRMED);
        assertThat(heldContent("r")).isEqualTo("-c");
    }

    @Test
    void lowerVersionChangesNothingButItsContentIsRecorded() {
        submit(route("r", 8, "-c"));
        assertThat(submit(route("r", 6, "-a"))).isEqualTo(ChangeResult.Outcome.CONFIRMED);
        assertThat(heldContent("r")).isEqualTo("-c");
        assertThat(submit(route("r", 6, "-b"))).isEqualTo(ChangeResult.Outcome.CONFLICT);
        assertThat(submit(route("r", 6, "-a"))).isEqualTo(ChangeResult.Outcome.CONFIRMED);
    }

    @Test
    void changeIsAtomic() {
        submit(route("r", 5, "-a"));
        assertThat(submit(route("s", 1, "-x"), route("r", 5, "-b"))).isEqualTo(ChangeResult.Outcome.CONFLICT);
        assertThat(heldContent("s")).isNull();
        assertThat(submit(route("s", 1, "p1"), route("t", 1, "p2"))).isEqualTo(ChangeResult.Outcome.INVALID);
        assertThat(heldContent("s")).isNull();
        assertThat(submit(route("s", 1, "-x"), route("s", 1, null)))
                .as("two contents in one call")
                .isEqualTo(ChangeResult.Outcome.CONFLICT);
    }

    @Test
    void changesDecidedTogetherAreEvaluatedInSequence() {
        ChangeEvaluator evaluator = new ChangeEvaluator(state, new ClusterSimulation.UniquePlaceRules(Mutation.NONE));
        assertThat(evaluator.evaluate(List.of(route("r", 1, "p1"))).outcome())
                .isEqualTo(ChangeResult.Outcome.CONFIRMED);
        assertThat(evaluator.evaluate(List.of(route("s", 1, "p2"))).outcome()).isEqualTo(ChangeResult.Outcome.INVALID);
        assertThat(evaluator.evaluate(List.of(route("r", 1, "q1"))).outcome()).isEqualTo(ChangeResult.Outcome.CONFLICT);
        assertThat(evaluator.evaluate(List.of(route("r", 2, "q1"))).outcome())
                .isEqualTo(ChangeResult.Outcome.CONFIRMED);
        assertThat(evaluator.evaluate(List.of(route("s", 1, "p2"))).outcome())
                .isEqualTo(ChangeResult.Outcome.CONFIRMED);
        assertThat(evaluator.changedItems()).hasSize(2);
    }

    @Test
    void oversizedConfigurationIsRefused() {
        String large = "-" + "x".repeat((int) ChangeEvaluator.MAX_CHARACTERS / 2);
        assertThat(submit(route("r", 1, large))).isEqualTo(ChangeResult.Outcome.CONFIRMED);
        assertThat(submit(route("s", 1, large))).isEqualTo(ChangeResult.Outcome.INVALID);
        assertThat(submit(route("t", 1, "-small"))).isEqualTo(ChangeResult.Outcome.CONFIRMED);
    }

    @Test
    void onlyHighestPastVersionsAreKept() {
        for (int version = 1; version <= VersionedItem.MAX_PAST_VERSIONS + 4; version++) {
            submit(route("r", version, "-" + version));
        }
        VersionedItem entry = state.get(new ItemName(ItemKind.ROUTE, "r"));
        assertThat(entry.past()).hasSize(VersionedItem.MAX_PAST_VERSIONS);
        assertThat(submit(route("r", entry.past().get(0).version(), "-other")))
                .isEqualTo(ChangeResult.Outcome.CONFLICT);
        assertThat(submit(route("r", 1, "-1"))).as("forgotten").isEqualTo(ChangeResult.Outcome.CONFIRMED);
        assertThat(entry.past().get(0).version()).isGreaterThan(1);
    }
}

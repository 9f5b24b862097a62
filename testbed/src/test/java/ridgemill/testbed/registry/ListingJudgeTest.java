package ridgemill.testbed.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ridgemill.testbed.acts.History;
import ridgemill.testbed.ledger.Ledger;
import ridgemill.testbed.registry.ListingJudge.Seen;

/** The judge finds what it is there to find. */
class ListingJudgeTest {

    private static final Map<String, String> UP = Map.of("a", "UP");
    private static final Map<String, String> AWAY = Map.of("a", "OUT_OF_SERVICE");
    private static final double BOUND_MS = 500;

    private final History history = new History(new Ledger());
    private final ListingJudge judge = new ListingJudge();

    ListingJudgeTest() {
        judge.has(0, 0, UP);
        judge.has(1000, 1010, AWAY);
        judge.has(3000, 3010, Map.of());
    }

    private int faults(Seen... seen) {
        return judge.judge(List.of(seen), history, BOUND_MS).faults().size();
    }

    private static Seen seen(double at, Map<String, String> all) {
        return new Seen("p0", at, at + 1, all);
    }

    @Test
    void whatWasThereAShortWhileAgoIsNoFault() {
        assertEquals(
                0, faults(seen(500, UP), seen(1400, UP), seen(1500, AWAY), seen(3100, AWAY), seen(3200, Map.of())));
    }

    @Test
    void whatWasNeverThereIsOldOrIsBackIsFound() {
        assertEquals(1, faults(seen(500, Map.of("b", "UP"))), "never");
        assertEquals(1, faults(seen(500, AWAY)), "not yet");
        assertEquals(1, faults(seen(1600, UP)), "old");
        assertEquals(1, faults(seen(1100, AWAY), seen(1200, UP)), "back");
        assertEquals(0, faults(seen(1100, AWAY), new Seen("p1", 1200, 1201, UP)), "another's");
    }

    @Test
    void oneThatHasJustGoneOnIsGivenTime() {
        Ledger ledger = new Ledger();
        History with = new History(ledger);
        with.note("p0", History.What.WENT_ON, "");
        double at = ledger.now();
        ListingJudge late = new ListingJudge();
        late.has(at - 9000, at - 9000, UP);
        late.has(at - 8000, at - 8000, AWAY);
        assertEquals(
                0, late.judge(List.of(seen(at, UP)), with, BOUND_MS).faults().size());
        assertEquals(
                1,
                late.judge(List.of(seen(at + BOUND_MS + 10, UP)), with, BOUND_MS)
                        .faults()
                        .size());
    }
}

package ridgemill.testbed.acts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import ridgemill.testbed.acts.ActJudge.Verdict;
import ridgemill.testbed.acts.History.What;
import ridgemill.testbed.ledger.Ledger;

/** The judge lets pass what one did at a time, and finds each way in which two acted at once. */
class ActJudgeTest {

    private final Ledger ledger = new Ledger();
    private final History history = new History(ledger);

    private static Act act(String holder, long term, double from, double to, boolean accepted) {
        return new Act("t", holder, term, from, to, accepted);
    }

    private List<String> rules(Act... acts) {
        return new ActJudge(50, 2000)
                .judge(List.of(acts), history).faults().stream()
                        .map(ActJudge.Fault::rule)
                        .toList();
    }

    @Test
    void oneAtATimePasses() {
        Verdict verdict = new ActJudge(50, 2000)
                .judge(
                        List.of(
                                act("p0#1", 1, 0, 1, true),
                                act("p0#1", 1, 2, 3, true),
                                act("p1#1", 4, 4, 5, true),
                                act("p0#2", 9, 6, 7, true)),
                        history);
        assertEquals(new Verdict(4, 3, 0, List.of()), verdict);
    }

    @Test
    void twoAtOnceAreFound() {
        assertEquals(List.of("overlap"), rules(act("p0#1", 1, 0, 3, true), act("p1#1", 2, 2, 4, true)));
    }

    @Test
    void aTermOfTwoHoldersIsFound() {
        assertEquals(List.of("term-repeats"), rules(act("p0#1", 1, 0, 1, true), act("p1#1", 1, 2, 3, true)));
    }

    @Test
    void aTermThatFallsIsFound() {
        assertEquals(List.of("term-falls"), rules(act("p0#1", 2, 0, 1, true), act("p1#1", 1, 2, 3, true)));
        assertEquals(
                List.of("term-falls", "term-falls"), rules(act("p0#1", 2, 0, 1, true), act("p0#1", 1, 2, 3, true)));
    }

    @Test
    void whoIsRefusedForItsTermHadNoExcuseUnlessItWasStopped() {
        Act late = act("p0#1", 1, 105, 106, false);
        assertEquals(List.of("acted-late"), rules(act("p1#1", 2, 0, 1, true), late));
        history.note(100, "p1", What.WENT_ON, "");
        assertEquals(List.of("acted-late"), rules(act("p1#1", 2, 0, 1, true), late));
        history.note(100, "p0", What.WENT_ON, "");
        assertEquals(List.of(), rules(act("p1#1", 2, 0, 1, true), late));
        assertEquals(List.of("acted-late"), rules(act("p1#1", 2, 0, 1, true), act("p0#1", 1, 1100, 1101, false)));
    }
}

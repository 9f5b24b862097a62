package ridgemill.testbed.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ridgemill.testbed.audit.RollJudge.Complete;
import ridgemill.testbed.ledger.ClientEntry;
import ridgemill.testbed.ledger.Ledger;
import ridgemill.testbed.ledger.NodeEntry;
import ridgemill.testbed.load.LoadProfile;

/** The judge finds what it is there to find. */
class RollJudgeTest {

    private final Ledger ledger = new Ledger();
    private int requests;

    /** A request that its client sent at a time, and a node saw under a label. */
    private void begun(double at, String label) {
        String id = "q" + requests++;
        ledger.add(new ClientEntry(id, id, "p0", LoadProfile.METERS.get(0), "k", null, 1000))
                .sent(at);
        NodeEntry e = ledger.add(new NodeEntry("c0", requests, at + 1));
        e.begun(at + 1, id, "k", false, null);
        e.under(label);
    }

    private List<String> faults(Complete... completes) {
        return new RollJudge(ledger, Map.of(3, 1), 10, 500).judge(List.of(completes));
    }

    @Test
    void aRollAndAWayBackAreNoFault() {
        begun(100, "p0#a/1.x");
        begun(110, "p1#b/1.x");
        begun(200, "p0#a/2.y");
        begun(210, "p1#b/1.x");
        begun(300, "p0#a/3.z");
        begun(310, "p1#b/1.x");
        begun(400, "p1#b/3.z");
        assertEquals(List.of(), faults(new Complete(390, 3)));
    }

    @Test
    void oneNumberForTwoTextsIsFound() {
        begun(100, "p0#a/2.x");
        begun(110, "p1#b/2.y");
        assertEquals(List.of("number 2 stands for x and for y"), faults());
    }

    @Test
    void aProcessThatGoesBackIsFound() {
        begun(100, "p0#a/2.y");
        begun(105, "p0#a/1.x");
        assertEquals(List.of(), faults(), "sent at almost the same time they may come in any order");
        begun(150, "p0#a/2.y");
        begun(200, "p0#a/1.x");
        assertEquals(List.of("p0#a goes from 2 to 1 with q3"), faults());
    }

    @Test
    void whatBeginsUnderAnOlderOneOnceThatIsCompleteIsFound() {
        begun(100, "p0#a/1.x");
        begun(105, "p1#b/2.y");
        begun(205, "p0#a/1.x");
        assertEquals(List.of(), faults(new Complete(200, 2)), "it was under way");
        begun(300, "p0#a/1.x");
        assertEquals(1, faults(new Complete(200, 2)).size());
    }

    /** Only one that has started since has an excuse, and for no longer than it was told. */
    @Test
    void whoHasJustStartedMayHaveAnOldFile() {
        begun(100, "p1#b/2.y");
        begun(300, "p0#c/1.x");
        begun(700, "p0#c/1.x");
        assertEquals(List.of(), faults(new Complete(200, 2)));
        begun(900, "p0#c/1.x");
        assertEquals(1, faults(new Complete(200, 2)).size());
    }

    @Test
    void threeTextsAtOnceAreFound() {
        begun(100, "p0#a/1.x");
        begun(110, "p1#b/2.y");
        begun(120, "p2#c/4.z");
        assertEquals(List.of(), faults());
        begun(130, "p1#b/2.y");
        begun(140, "p0#a/1.x");
        assertEquals(List.of("three texts act at once at 120"), faults());
    }

    @Test
    void anAttemptUnderNoVersionIsFound() {
        begun(100, null);
        assertTrue(faults().get(0).endsWith("says nothing of its version: null"));
    }
}

package ridgemill.testbed.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The models inside stand-ins, on time that the test passes. */
class ModelsTest {

    @Test
    void workWaitsForItsCoreAndAFullQueueTurnsAway() {
        VirtualCore core = new VirtualCore(1, 1);
        VirtualCore.Piece first = core.take(0, 10);
        assertEquals(List.of(first), core.begin());
        assertEquals(10, first.doneAt());
        VirtualCore.Piece second = core.take(5, 10);
        assertEquals(List.of(), core.begin());
        assertNull(core.take(6, 10), "one at work and one waiting are all it holds");
        core.done(first);
        assertEquals(List.of(second), core.begin());
        assertEquals(20, second.doneAt(), "it began when its core was free");
        core.done(second);
        VirtualCore.Piece third = core.take(100, 10);
        core.begin();
        assertEquals(110, third.doneAt(), "an idle core starts at once");
    }

    @Test
    void twoCoresWorkSideBySide() {
        VirtualCore core = new VirtualCore(2, 2);
        VirtualCore.Piece a = core.take(0, 10);
        VirtualCore.Piece b = core.take(0, 10);
        VirtualCore.Piece c = core.take(0, 10);
        core.begin();
        assertEquals(10, a.doneAt());
        assertEquals(10, b.doneAt());
        core.done(a);
        core.begin();
        assertEquals(20, c.doneAt());
    }

    @Test
    void whatIsStoppedFreesItsCoreOrItsPlace() {
        VirtualCore core = new VirtualCore(1, 2);
        VirtualCore.Piece a = core.take(0, 100);
        VirtualCore.Piece b = core.take(0, 10);
        VirtualCore.Piece c = core.take(0, 10);
        core.begin();
        core.stop(1, b);
        assertEquals(2, core.inHand());
        core.stop(30, a);
        assertEquals(List.of(c), core.begin());
        assertEquals(40, c.doneAt());
        core.stop(31, a);
        assertEquals(1, core.inHand(), "a second stop is none");
    }

    @Test
    void aColdNodeWarmsUpEvenly() {
        Warmth warmth = new Warmth(1000, NodeProfile.CACHE);
        assertEquals(0.21, warmth.share(1000), 1e-9);
        assertEquals(0.605, warmth.share(4000), 1e-9);
        assertEquals(1, warmth.share(7000), 1e-9);
        assertTrue(warmth.isCold(6999));
        assertFalse(warmth.isCold(7000));
    }

    @Test
    void aColdNodeFallsOverWhenTheSpanHoldsMoreThanItsMultiple() {
        NodeProfile p = NodeProfile.CACHE;
        Warmth warmth = new Warmth(0, p);
        double most = p.fallMultiple() * warmth.share(0) * p.fallMs();
        assertFalse(warmth.pushedOver(0, most - 1, 1));
        assertTrue(warmth.pushedOver(0, 2, 1));
        Warmth spread = new Warmth(0, p);
        assertFalse(spread.pushedOver(0, most - 1, 1));
        assertFalse(spread.pushedOver(p.fallMs() + 1, 2, 1), "what came before the span is forgotten");
        Warmth warm = new Warmth(Double.NEGATIVE_INFINITY, p);
        assertFalse(warm.pushedOver(0, 100 * most, 1), "a warm node turns away and does not fall");
    }

    @Test
    void aRepeatIsDroppedWhileItsKeyIsRemembered() {
        RepeatGuard guard = new RepeatGuard(6000);
        assertTrue(guard.admits(0, "a"));
        assertFalse(guard.admits(5999, "a"));
        assertTrue(guard.admits(6000, "a"), "forgotten");
        assertTrue(guard.admits(1, "b"));
        assertTrue(guard.admits(2, null) && guard.admits(3, null), "without a key nothing is dropped");
    }

    @Test
    void faultsComeAsScriptedAndThenByChanceFromTheSeed() {
        Faults faults = new Faults(5);
        Faults same = new Faults(5);
        faults.next(Fault.ERROR, Fault.SILENCE);
        assertEquals(Fault.ERROR, faults.draw());
        assertEquals(Fault.SILENCE, faults.draw());
        faults.share(Fault.NOISE, 0.5);
        same.share(Fault.NOISE, 0.5);
        int noise = 0;
        for (int i = 0; i < 1000; i++) {
            Fault fault = faults.draw();
            assertEquals(fault, same.draw());
            noise += fault == Fault.NOISE ? 1 : 0;
        }
        assertTrue(noise > 400 && noise < 600);
        faults.clear();
        assertEquals(null, faults.draw());
    }
}

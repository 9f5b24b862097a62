package ridgemill.gateway.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Splits an operator file into the part for all proxies and the local sections of one proxy. */
class RolloutTextTest {

    private static final String FILE = """
            version = 7 # the seventh
            [control] # where operators ask
            socket = "/run/p0.sock"

            [audit]
            tell-version = true
            [eureka.register]
            app = "GATE"
            [[listener]]
            name = "more"
            """;

    @Test
    void localSectionsAreSplitOff() {
        assertEquals("""
                version = 7 # the seventh
                [audit]
                tell-version = true
                [[listener]]
                name = "more"
                """, RolloutText.sharedPart(FILE));
        assertEquals("""
                [control] # where operators ask
                socket = "/run/p0.sock"

                [eureka.register]
                app = "GATE"
                """, RolloutText.localPart(FILE));
    }

    @Test
    void splittingAndJoiningKeepsBothParts() {
        String joined = RolloutText.join(RolloutText.sharedPart(FILE), RolloutText.localPart(FILE));
        assertEquals(RolloutText.sharedPart(FILE), RolloutText.sharedPart(joined));
        assertEquals(RolloutText.localPart(FILE), RolloutText.localPart(joined));
        assertEquals("a = 1\n", RolloutText.join("a = 1\n", "\n"));
    }

    @Test
    void onlyTheVersionOfTheFileIsReplaced() {
        assertEquals("version = 9\n[leases]\nversion = 3\n",
                RolloutText.withVersion("version = 4\n[leases]\nversion = 3\n", 9));
        assertThrows(IllegalArgumentException.class, () -> RolloutText.withVersion("[leases]\nversion = 3\n", 9));
    }
}

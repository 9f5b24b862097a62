package ridgemill.gateway.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** What of a file goes from proxy to proxy, and what stays where it is. */
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
    void whatIsEachProxysOwnStays() {
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
    void takenApartAndPutTogetherItIsTheSame() {
        String again = RolloutText.join(RolloutText.sharedPart(FILE), RolloutText.localPart(FILE));
        assertEquals(RolloutText.sharedPart(FILE), RolloutText.sharedPart(again));
        assertEquals(RolloutText.localPart(FILE), RolloutText.localPart(again));
        assertEquals("a = 1\n", RolloutText.join("a = 1\n", "\n"));
    }

    @Test
    void theNumberIsTheFilesOwnAndNoSections() {
        assertEquals("version = 9\n[leases]\nversion = 3\n", RolloutText.withVersion("version = 4\n[leases]\nversion = 3\n", 9));
        assertThrows(IllegalArgumentException.class, () -> RolloutText.withVersion("[leases]\nversion = 3\n", 9));
    }
}

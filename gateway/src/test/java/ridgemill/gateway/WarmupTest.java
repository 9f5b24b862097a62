package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The warm-up runs the whole path: requests are served by its nodes, some through its origin. */
class WarmupTest {

    @Test
    void itsRequestsAreServedAndItEnds() throws Exception {
        try (Site site = new Site()) {
            assertTrue(Warmup.run(site.config("automatic", "60000", "").settings(), null) > 0);
        }
    }
}

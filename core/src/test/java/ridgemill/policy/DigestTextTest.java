package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.DeduplicationScope;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.PlatformLimits;
import ridgemill.policy.Router.PlatformRules;
import ridgemill.policy.Router.RetryPolicy;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.policy.Router.Tenant;

/**
 * Pins the texts of the platform's settings. Their digest is sent to peers and written to the audit file: if a text
 * changed, a proxy of an older build with the same settings would be taken for one of another platform.
 */
class DigestTextTest {

    @Test
    void textOfServiceClass() {
        assertEquals("ServiceClass[name=checkout, aimMs=1.5, aimStretch=0.25, deadlineMs=2000.0, gain=1.0E7, "
                + "lateShare=0.3333333333333333, effect=KEYED, group=ZONE, repeatWindowMs=60000.0, stream=true, "
                + "retry=Retry[attempts=3, attemptMs=250.125, firstWaitMs=10.0, waitFactor=1.5, mostWaitMs=1.0E-4]]",
                new ServiceClass("checkout", 1.5, 0.25, 2000, 1.0E7, 1.0 / 3, Effect.KEYED, DeduplicationScope.ZONE,
                        60_000, true, new RetryPolicy(3, 250.125, 10, 1.5, 1.0E-4)).toString());
        assertEquals("ServiceClass[name=read, aimMs=0.0, aimStretch=-0.0, deadlineMs=Infinity, gain=NaN, "
                + "lateShare=1.23456789125E8, effect=SAFE, group=null, repeatWindowMs=0.0, stream=false, "
                + "retry=Retry[attempts=0, attemptMs=0.0, firstWaitMs=0.0, waitFactor=1.0, mostWaitMs=0.0]]",
                new ServiceClass("read", 0, -0.0, Double.POSITIVE_INFINITY, Double.NaN, 123456789.125, Effect.SAFE,
                        null, 0, false).toString());
        assertEquals("ServiceClass[name=write, aimMs=50.0, aimStretch=2.0, deadlineMs=1000.0, gain=1.0, "
                + "lateShare=0.0, effect=UNSAFE, group=ALL, repeatWindowMs=0.0, stream=false, "
                + "retry=Retry[attempts=0, attemptMs=0.0, firstWaitMs=0.0, waitFactor=1.0, mostWaitMs=0.0]]",
                new ServiceClass("write", 50, 2, 1000, 1, 0, Effect.UNSAFE, DeduplicationScope.ALL, 0, false)
                        .toString());
        assertEquals("ServiceClass[name=null, aimMs=50.0, aimStretch=2.0, deadlineMs=1000.0, gain=1.0, "
                + "lateShare=0.0, effect=null, group=CELL, repeatWindowMs=0.0, stream=false, retry=null]",
                new ServiceClass(null, 50, 2, 1000, 1, 0, null, DeduplicationScope.CELL, 0, false, null).toString());
    }

    @Test
    void textOfTenants() {
        assertEquals("[Tenant[name=gold, quotaPerS=1234.5], Tenant[name=basic, quotaPerS=9999999.0]]",
                List.of(new Tenant("gold", 1234.5), new Tenant("basic", 9_999_999)).toString());
        assertEquals("Tenant[name=null, quotaPerS=1.0E10]", new Tenant(null, 1.0E10).toString());
    }

    @Test
    void textOfPlatformLimits() {
        assertEquals("Limits[maxAttempts=4, cancel=true, probes=false, peers=true, retryAfter=false, "
                + "maxRetryAfterMs=30000.0, secondCopies=true, connectTimeoutMs=250.5]",
                new PlatformLimits(4, true, false, true, false, 30_000, true, 250.5).toString());
        assertEquals("Limits[maxAttempts=0, cancel=false, probes=true, peers=false, retryAfter=true, "
                + "maxRetryAfterMs=0.001, secondCopies=false, connectTimeoutMs=1.0E7]",
                new PlatformLimits(0, false, true, false, true, 1.0E-3, false, 1.0E7).toString());
    }

    @Test
    void textOfPlatformRules() {
        assertEquals("Rules[drainGraceMs=1000.0, coldFrom=0.1, coldMs=30000.0, fallMultiple=2.5, fallMs=5000.0, "
                + "answerSlackMs=20.0, askWithinMs=1.2345678E7]",
                new PlatformRules(1000, 0.1, 30_000, 2.5, 5000, 20, 12_345_678).toString());
    }
}

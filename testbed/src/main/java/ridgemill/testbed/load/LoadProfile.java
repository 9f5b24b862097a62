package ridgemill.testbed.load;

import java.util.List;
import ridgemill.testbed.ledger.LoadClass;
import ridgemill.testbed.ledger.LoadClass.Effect;

/**
 * What clients ask for.
 *
 * @param classes the classes, by weight
 * @param tenants the tenants, all alike
 * @param perSecond first tries a second; arrivals do not wait for answers
 * @param seconds for how long
 * @param keys how many keys there are
 * @param skew how uneven they are asked for: 0 is evenly, 1 is Zipf's law
 * @param retries how often a client tries again after a refusal or a failure
 * @param retryWaitMs after how long, where the answer names no time
 * @param tryShare the part of a class's time that one try may take
 * @param pipeline requests that a client may have out on one connection
 * @param leaveShare the part of the clients that go away before their answer
 */
public record LoadProfile(
        List<LoadClass> classes,
        List<String> tenants,
        double perSecond,
        double seconds,
        int keys,
        double skew,
        int retries,
        double retryWaitMs,
        double tryShare,
        int pipeline,
        double leaveShare) {

    /** The lookups and recharges of a meter fleet. */
    public static final List<LoadClass> METERS = List.of(
            new LoadClass("latest-reading", 50, 600, 1500, 2, Effect.SAFE, false),
            new LoadClass("prepaid-balance", 28, 500, 1500, 5, Effect.SAFE, false),
            new LoadClass("supply-status", 18, 300, 1200, 5, Effect.SAFE, false),
            new LoadClass("recharge-credit", 4, 750, 1500, 2, Effect.KEYED, true));

    /** 100 requests a second for five seconds. */
    public static final LoadProfile USUAL =
            new LoadProfile(METERS, List.of("bagmati-bijuli", "gandaki-urja"), 100, 5, 300, 0.8, 3, 50, 0.55, 1, 0);

    public LoadProfile {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
    }

    public LoadProfile rate(double perS, double forSeconds) {
        return new LoadProfile(
                classes, tenants, perS, forSeconds, keys, skew, retries, retryWaitMs, tryShare, pipeline, leaveShare);
    }

    public LoadProfile keys(int count, double uneven) {
        return new LoadProfile(
                classes,
                tenants,
                perSecond,
                seconds,
                count,
                uneven,
                retries,
                retryWaitMs,
                tryShare,
                pipeline,
                leaveShare);
    }

    public LoadProfile retrying(int times, double waitMs) {
        return new LoadProfile(
                classes, tenants, perSecond, seconds, keys, skew, times, waitMs, tryShare, pipeline, leaveShare);
    }

    public LoadProfile pipelined(int depth) {
        return new LoadProfile(
                classes, tenants, perSecond, seconds, keys, skew, retries, retryWaitMs, tryShare, depth, leaveShare);
    }

    public LoadProfile leaving(double share) {
        return new LoadProfile(
                classes, tenants, perSecond, seconds, keys, skew, retries, retryWaitMs, tryShare, pipeline, share);
    }

    public LoadProfile classes(List<LoadClass> others) {
        return new LoadProfile(
                others, tenants, perSecond, seconds, keys, skew, retries, retryWaitMs, tryShare, pipeline, leaveShare);
    }
}

package ridgemill.lab;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import ridgemill.gateway.Config;
import ridgemill.gateway.operator.Operated;
import ridgemill.policy.BalancingRouter;
import ridgemill.policy.Router.Settings;
import ridgemill.policy.Router;
import ridgemill.testbed.Testbed;
import ridgemill.testbed.load.LoadProfile;
import ridgemill.testbed.node.NodeProfile;

/** Starts proxies under operator files beside a testbed's fleet, which is the platform's list. */
final class Operating {

    private static final long SEED = 5;

    private Operating() { }

    /** A proxy p0 on an address of its own, for clients of this load. */
    static Operated start(Testbed bed, Path file, LoadProfile profile) throws Exception {
        return start(bed, file, profile, settings -> new BalancingRouter(settings, SEED + settings.proxyIndex()));
    }

    /** The same with decisions of the caller's, made for each loop. */
    static Operated start(Testbed bed, Path file, LoadProfile profile, Function<Settings, Router> routers) throws Exception {
        Config config = Config.parse(ProxyConfig.of("p0", 0, 1, new InetSocketAddress("127.0.0.1", 0), bed.place("p0"), profile,
                NodeProfile.CACHE, null, List.of(), SEED).toString(), Map.of());
        return Operated.start(config, file.toString(), routers);
    }
}

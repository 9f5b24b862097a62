package ridgemill.bench.scale;

/**
 * What the control plane had to bear while a point was measured.
 *
 * @param proxies edge proxies, hollow and real ones together
 * @param instances instances that send heartbeats
 * @param registries registry processes
 * @param items routes in the configuration
 * @param changesPerS configuration changes a second, carried out by the hollow edge proxies in the window
 * @param purgesPerS purges a second, carried out likewise
 * @param keysPerS operation keys that are claimed and finished a second in the window
 * @param statesPerS instances that come or leave a second, answered in the window
 */
public record Conditions(
        int proxies,
        int instances,
        int registries,
        int items,
        double changesPerS,
        double purgesPerS,
        double keysPerS,
        double statesPerS) {}

package ridgemill.bench.scale;

/** The size that the control plane is to have, as the operators give it. */
final class Target {

    static final int PROXIES = 1_300;
    static final int INSTANCES = 310;
    static final int CORE_MACHINES = 18;
    static final double PURGES_PER_S = 27;
    static final double CHANGES_PER_DAY = 7_000;
    static final double CHANGES_PER_S = CHANGES_PER_DAY / 86_400;
    /** Machines lost and machines restarted or replaced in a day; each leaves and comes. */
    static final double STATES_PER_S = 2 * (4 + 100) / 86_400.0;

    static final double PURGE_LIMIT_MS = 7_400;
    static final double CHANGE_LIMIT_MS = 6_000;
    static final double PROXY_CPU_PERCENT = 1.5;
    static final double PROXY_MB = 128;
    static final double PROXY_BYTES_PER_S = 2_000;

    private Target() {}
}

package ridgemill.gateway.net;

/** Tells processes of one proxy apart. */
public final class Incarnation {

    private Incarnation() { }

    /** Of this process, which has started at a time: two of a proxy may start within a millisecond, but not with the same id. */
    public static int of(double startedMs) {
        return (int) (Long.hashCode((long) startedMs) * 31L + ProcessHandle.current().pid());
    }
}

package ridgemill.testbed.ledger;

/**
 * One request as a stand-in had it. Written by the stand-in's own thread while it works; read when it has stopped.
 * Times are milliseconds on the testbed's clock; 0 means that it did not happen.
 */
public final class NodeEntry {

    private final String node;
    private final long connection;
    private final double firstByteAt;
    private volatile String id = "";
    private volatile String key = "";
    private volatile String idempotencyKey;
    private volatile boolean write;
    private volatile double begunAt;
    private volatile double answeredAt;
    private volatile double endedAt;
    private volatile double waitsMs;
    private volatile double workedFrom;
    private volatile double workedUntil;
    private volatile double toldMs;
    private volatile double writingAt;
    private volatile Fate writing;
    private volatile Fate fate = Fate.OPEN;
    private volatile boolean ran;
    private volatile boolean recorded;
    private volatile String body;
    private volatile String under;

    public NodeEntry(String node, long connection, double firstByteAt) {
        this.node = node;
        this.connection = connection;
        this.firstByteAt = firstByteAt;
    }

    /** Its last byte has come, and this is what it asks for. */
    public void begun(double at, String requestId, String requestKey, boolean isWrite, String idempotency) {
        begunAt = at;
        id = requestId;
        key = requestKey;
        write = isWrite;
        idempotencyKey = idempotency;
    }

    /** For how long the other side waits from its beginning on, as it says itself; 0 where it does not. */
    public void waits(double ms) {
        waitsMs = ms;
    }

    /** How long the other side waits as it says, whatever that means for the connection; 0 where it does not. */
    public void told(double ms) {
        toldMs = ms;
    }

    /** Which proxy, process and version it says that it is sent by; null where it says nothing. */
    public void under(String label) {
        under = label;
    }

    /** What it said of that; null for nothing. */
    public String under() {
        return under;
    }

    /** A core began to work on it. */
    public void works(double at) {
        workedFrom = at;
    }

    /** No core works on it any more: it is done, or was stopped. */
    public void worked(double at) {
        workedUntil = at;
    }

    /** It ran; {@code effect} if that recorded something. */
    public void ran(boolean effect) {
        ran = true;
        recorded |= effect;
    }

    /**
     * Its answer's last byte is about to be written. Whoever reads it may act on it before this side hears that the write is
     * complete, so what others saw of it is judged from here on.
     */
    public void answering(double at, Fate how, String answer) {
        body = answer;
        writing = how;
        writingAt = at;
    }

    /** Its answer's last byte was written. */
    public void answered(double at, Fate how, String answer) {
        answeredAt = at;
        body = answer;
        ended(at, how);
    }

    /** Nothing more comes of it; the first end counts. */
    public void ended(double at, Fate how) {
        if (endedAt == 0) {
            endedAt = at;
            fate = how;
        }
    }

    public String node() {
        return node;
    }

    public long connection() {
        return connection;
    }

    public double firstByteAt() {
        return firstByteAt;
    }

    /** When its last byte came, from when on it may run; 0 if it never did. */
    public double begunAt() {
        return begunAt;
    }

    public double answeredAt() {
        return answeredAt;
    }

    /** When it was answered, or its connection ended, or the stand-in gave it up. */
    public double endedAt() {
        return endedAt;
    }

    /**
     * From when on the other side waits for it no more: its end, or when its answer went out, or when the time was up that
     * the other side gave it, which is how one is given up on a connection that others share.
     */
    public double awaitedUntil() {
        double up = waitsMs > 0 ? begunAt + waitsMs : Double.POSITIVE_INFINITY;
        double read = writingAt > 0 ? writingAt : Double.POSITIVE_INFINITY;
        return Math.min(endedAt > 0 ? endedAt : Double.POSITIVE_INFINITY, Math.min(read, up));
    }

    /** How long the other side waits from its beginning on, as it says; 0 where it does not. */
    public double toldMs() {
        return toldMs;
    }

    /** When a core began to work on it; 0 if none ever did. */
    public double workedFrom() {
        return workedFrom;
    }

    /** When no core worked on it any more; 0 if none ever did, or one does still. */
    public double workedUntil() {
        return workedUntil;
    }

    /** A core's time that it took, in milliseconds. */
    public double workedMs() {
        return workedUntil > 0 ? workedUntil - workedFrom : 0;
    }

    public String id() {
        return id;
    }

    public String key() {
        return key;
    }

    public String idempotencyKey() {
        return idempotencyKey;
    }

    public boolean isWrite() {
        return write;
    }

    /** What became of it; the fate that its answer tells, as soon as that is on its way. */
    public Fate fate() {
        Fate told = writing;
        return fate == Fate.OPEN && told != null ? told : fate;
    }

    /** Whether it ran here, whatever the other side was told. */
    public boolean hasRun() {
        return ran;
    }

    /** Whether it recorded an effect here. */
    public boolean hasRecorded() {
        return recorded;
    }

    /** The answer's body; null where none was given. */
    public String body() {
        return body;
    }

    @Override
    public String toString() {
        return "%s at %s [%.1f to %.1f] %s%s%s"
                .formatted(id, node, begunAt, endedAt, fate, ran ? " ran" : "", recorded ? " recorded" : "");
    }
}

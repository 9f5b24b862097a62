package ridgemill.gateway.net;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * The rest of a body that comes by and by: one side feeds it, the other drains it and says whether more may come. Used on the
 * loop that both sides belong to.
 */
public final class BodyStream {

    /** Bytes that wait for whoever is to drain it, beyond which no more is read. */
    private static final int MOST_HELD = 64 * 1024;

    /** Takes the body. */
    public interface Sink {

        /** The next part, which it owns from now on. */
        void part(ByteBuf part);

        /** The body is whole. */
        void end();

        /** Its rest will never come. */
        void broken();
    }

    private enum State { OPEN, ENDED, BROKEN, DROPPED }

    private final long length;
    private final Consumer<Boolean> flows;
    private final Deque<ByteBuf> held = new ArrayDeque<>();
    private State state = State.OPEN;
    private Sink sink;
    private int heldBytes;
    private long fed;
    private boolean flowing = true;
    private boolean over;
    private boolean whole;
    private Consumer<Boolean> onEnd = whole -> { };

    /**
     * A body of which nothing has come.
     *
     * @param length of all of it in bytes, with what came before the stream; negative where only its end tells
     * @param flows told whether more of it may be read now
     */
    public BodyStream(long length, Consumer<Boolean> flows) {
        this.length = length;
        this.flows = flows;
    }

    /** Of the whole body, in bytes; negative where only its end tells. */
    public long length() {
        return length;
    }

    /** Bytes that have been fed. */
    public long fed() {
        return fed;
    }

    /** Whether more of it may come. */
    public boolean isOpen() {
        return !over;
    }

    /** Whether more of it may be read now: where it may not, nobody can blame the feeding side for silence. */
    public boolean isFlowing() {
        return flowing;
    }

    /** Told once when all of it has come, dropped or not, or when the rest never will; at once where that is known. */
    public void onEnd(Consumer<Boolean> told) {
        onEnd = told;
        if (over) {
            told.accept(whole);
        }
    }

    private void over(boolean all) {
        if (!over) {
            over = true;
            whole = all;
            onEnd.accept(all);
        }
    }

    /** The next part has come; it is the stream's from now on. */
    public void feed(ByteBuf part) {
        fed += part.readableBytes();
        if (state != State.OPEN || !part.isReadable()) {
            part.release();
        } else if (sink != null) {
            sink.part(part);
        } else {
            held.add(part);
            heldBytes += part.readableBytes();
            if (heldBytes >= MOST_HELD) {
                wants(false);
            }
        }
    }

    /** All of it has been fed. */
    public void end() {
        if (state == State.OPEN) {
            state = State.ENDED;
            if (sink != null) {
                sink.end();
            }
        }
        over(true);
    }

    /** The rest will never come. */
    public void broke() {
        if (state == State.OPEN) {
            state = State.BROKEN;
            release();
            if (sink != null) {
                sink.broken();
            }
        }
        over(false);
    }

    /** From now on {@code to} has it, with what has come already. */
    public void drain(Sink to) {
        sink = to;
        for (ByteBuf part = held.poll(); part != null; part = held.poll()) {
            heldBytes -= part.readableBytes();
            to.part(part);
        }
        if (state == State.ENDED) {
            to.end();
        } else if (state == State.BROKEN) {
            to.broken();
        } else {
            wants(true);
        }
    }

    /** The draining side can take more, or can't now. */
    public void wants(boolean more) {
        if (flowing != more && (state == State.OPEN || more)) {
            flowing = more;
            flows.accept(more);
        }
    }

    /** Nobody drains it any more: what still comes is read and dropped. */
    public void drop() {
        if (state == State.OPEN) {
            state = State.DROPPED;
        }
        release();
        sink = null;
        wants(true);
    }

    private void release() {
        held.forEach(ByteBuf::release);
        held.clear();
        heldBytes = 0;
    }
}

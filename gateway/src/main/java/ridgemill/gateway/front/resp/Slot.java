package ridgemill.gateway.front.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import ridgemill.core.NodeResponse;
import ridgemill.core.ResponseHandler;
import ridgemill.core.Command;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.resp.Resp;
import ridgemill.gateway.net.resp.RespWriter;
import ridgemill.policy.Reason;

/**
 * A command's place in its connection's order: its reply is written when those of all before it are. It is made of as many
 * calls as the command has keys, and is whole when each has its final answer.
 */
final class Slot {

    /** What a command's parts are put together to. */
    enum Shape { VALUE, VALUES, STORED, COUNT, PRESENT }

    /** How a part ended, worst last. */
    private enum End { OPEN, DONE, LIMITED, REFUSED, UNPROVEN, FAILED }

    private final RespClientConnection connection;
    private final int version;
    private final Shape shape;
    private final Command.Action action;
    private final Set<String> keys;
    private final End[] ends;
    private final ByteBuf[] values;
    private final boolean[] absent;
    private final Set<String> openIds = new LinkedHashSet<>();
    private double dueMs = Double.POSITIVE_INFINITY;
    private double retryAfterMs;
    private boolean conflicts;
    private Reason why;
    private int open;
    private ByteBuf reply;

    /** A command with so many keys, each of which is a call. */
    Slot(RespClientConnection connection, int version, Shape shape, Command.Action action, List<String> keys) {
        this.connection = connection;
        this.version = version;
        this.shape = shape;
        this.action = action;
        this.keys = Set.copyOf(keys);
        int parts = keys.size();
        this.open = parts;
        this.ends = new End[parts];
        this.values = new ByteBuf[parts];
        this.absent = new boolean[parts];
        Arrays.fill(ends, End.OPEN);
    }

    /** A command that was answered at once. */
    static Slot answered(RespClientConnection connection, int version, Resp reply) {
        Slot slot = new Slot(connection, version, Shape.VALUE, Command.Action.READ, List.of());
        slot.write(reply);
        reply.release();
        return slot;
    }

    /** A question that is answered later, by {@link #fill}. */
    static Slot awaited(RespClientConnection connection, int version) {
        return new Slot(connection, version, Shape.VALUE, Command.Action.READ, List.of());
    }

    /** The answer has come. */
    void fill(Resp value) {
        write(value);
        value.release();
    }

    /** A part of it is a call that must be answered by then. */
    void due(String call, double atMs) {
        openIds.add(call);
        dueMs = Math.min(dueMs, atMs);
    }

    /** When its reply must leave. */
    double dueMs() {
        return dueMs;
    }

    /** The calls of it that have no final answer yet. */
    List<String> openCalls() {
        return List.copyOf(openIds);
    }

    boolean isWhole() {
        return reply != null;
    }

    /** Bytes that it holds. */
    int held() {
        return reply == null ? 0 : reply.readableBytes();
    }

    /** Whether a command on these keys must wait for this one, as it would for Redis: either changes what both name. */
    boolean holdsUp(boolean writes, List<String> others) {
        return open > 0 && (writes || action != Command.Action.READ) && others.stream().anyMatch(keys::contains);
    }

    /** Its reply, which is the taker's from now on. */
    ByteBuf take() {
        ByteBuf taken = reply;
        reply = Unpooled.EMPTY_BUFFER;
        return taken;
    }

    /** Gives back what it holds; answers that still come are dropped. */
    void drop() {
        open = 0;
        releaseValues();
        if (reply != null) {
            reply.release();
            reply = Unpooled.EMPTY_BUFFER;
        }
    }

    private void releaseValues() {
        for (int i = 0; i < values.length; i++) {
            if (values[i] != null) {
                values[i].release();
                values[i] = null;
            }
        }
    }

    /** Who waits for the answer of one part, which is the call with this id. */
    ResponseHandler<Content> part(int index, String id) {
        return new ResponseHandler<>() {
            @Override
            public void served(NodeResponse<Content> answer) {
                if (open > 0) {
                    absent[index] = answer.content().isAbsent();
                    values[index] = answer.content().bytes().retain();
                }
                ended(End.DONE, 0);
            }

            @Override
            public void refused(double retryAfter) {
                ended(End.REFUSED, retryAfter);
            }

            @Override
            public void refusedMayHaveRun(double retryAfter) {
                ended(End.UNPROVEN, retryAfter);
            }

            @Override
            public void limited(double retryAfter) {
                ended(End.LIMITED, retryAfter);
            }

            @Override
            public void failed() {
                ended(End.FAILED, 0);
            }

            @Override
            public void reason(Reason reason) {
                why = reason;
            }

            @Override
            public void recorded(String call) {
                if (open > 0) {
                    values[index] = Unpooled.EMPTY_BUFFER;
                }
                ended(End.DONE, 0);
            }

            @Override
            public void conflict() {
                conflicts = true;
                ended(End.FAILED, 0);
            }

            private void ended(End how, double retryAfter) {
                openIds.remove(id);
                connection.settled(id);
                if (open > 0 && ends[index] == End.OPEN) {
                    ends[index] = how;
                    retryAfterMs = Math.max(retryAfterMs, retryAfter);
                    if (--open == 0) {
                        finish();
                        connection.whole(Slot.this);
                    }
                }
            }
        };
    }

    /** It makes no sense as a whole; parts that are out already are answered to nobody. */
    void invalid(Resp.Err why) {
        drop();
        reply = null;
        write(why);
    }

    private int count(End how) {
        int n = 0;
        for (End e : ends) {
            n += e == how ? 1 : 0;
        }
        return n;
    }

    /** An error, with the reason behind it where clients are told. */
    private void writeError(Resp.Err error) {
        write(why == null || !connection.tellsWhy() ? error : new Resp.Err(error.text() + " [" + why.code() + "]"));
    }

    private void finish() {
        int done = count(End.DONE);
        if (conflicts) {
            write(Replies.CONFLICT);
        } else if (done == ends.length) {
            write(result());
        } else if (action == Command.Action.READ && count(End.FAILED) == 0) {
            writeError(Replies.refused(count(End.UNPROVEN) > 0 ? Replies.Why.HARMLESS : count(End.LIMITED) > 0 ? Replies.Why.LIMIT
                    : Replies.Why.NOTHING_RAN, retryAfterMs));
        } else if (count(End.LIMITED) + count(End.REFUSED) == ends.length) {
            writeError(Replies.refused(count(End.LIMITED) > 0 ? Replies.Why.LIMIT : Replies.Why.NOTHING_RAN, retryAfterMs));
        } else {
            // A write of which any part may have run never reads as refused.
            writeError(Replies.failed(action, done, ends.length, count(End.FAILED) == 0));
        }
        releaseValues();
    }

    private Resp result() {
        return switch (shape) {
            case VALUE -> value(0);
            case VALUES -> {
                List<Resp> all = new ArrayList<>();
                for (int i = 0; i < values.length; i++) {
                    all.add(value(i));
                }
                yield new Resp.Array(all);
            }
            case STORED -> Resp.OK;
            case COUNT -> new Resp.Num(sum());
            case PRESENT -> {
                int n = 0;
                for (boolean a : absent) {
                    n += a ? 0 : 1;
                }
                yield new Resp.Num(n);
            }
        };
    }

    private Resp value(int i) {
        return absent[i] ? Resp.NULL : new Resp.Blob(values[i]);
    }

    /** Nodes tell how many went; one that tells nothing had the one. */
    private long sum() {
        long n = 0;
        for (ByteBuf v : values) {
            String text = v.toString(StandardCharsets.US_ASCII);
            n += text.matches("[0-9]{1,9}") ? Long.parseLong(text) : 1;
        }
        return n;
    }

    private void write(Resp value) {
        reply = connection.buffer();
        RespWriter.write(reply, value, version);
    }
}

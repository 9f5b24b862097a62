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
final class PendingReply {

    /** What a command's parts are put together to. */
    enum ReplyKind { VALUE, VALUES, STORED, COUNT, PRESENT }

    /** How a part ended, worst last. */
    private enum CallState { OPEN, DONE, LIMITED, REFUSED, UNPROVEN, FAILED }

    private final RespClientConnection connection;
    private final int version;
    private final ReplyKind kind;
    private final Command.Action action;
    private final Set<String> keys;
    private final CallState[] callStates;
    private final ByteBuf[] values;
    private final boolean[] absent;
    private final Set<String> openCallIds = new LinkedHashSet<>();
    private double dueMs = Double.POSITIVE_INFINITY;
    private double retryAfterMs;
    private boolean conflict;
    private Reason reason;
    private int openCallCount;
    private ByteBuf reply;

    /** A command with so many keys, each of which is a call. */
    PendingReply(RespClientConnection connection, int version, ReplyKind shape, Command.Action action, List<String> keys) {
        this.connection = connection;
        this.version = version;
        this.kind = shape;
        this.action = action;
        this.keys = Set.copyOf(keys);
        int parts = keys.size();
        this.openCallCount = parts;
        this.callStates = new CallState[parts];
        this.values = new ByteBuf[parts];
        this.absent = new boolean[parts];
        Arrays.fill(callStates, CallState.OPEN);
    }

    /** A command that was answered at once. */
    static PendingReply answered(RespClientConnection connection, int version, Resp reply) {
        PendingReply slot = new PendingReply(connection, version, ReplyKind.VALUE, Command.Action.READ, List.of());
        slot.write(reply);
        reply.release();
        return slot;
    }

    /** A question that is answered later, by {@link #complete}. */
    static PendingReply pending(RespClientConnection connection, int version) {
        return new PendingReply(connection, version, ReplyKind.VALUE, Command.Action.READ, List.of());
    }

    /** The answer has come. */
    void complete(Resp value) {
        write(value);
        value.release();
    }

    /** A part of it is a call that must be answered by then. */
    void addCall(String call, double atMs) {
        openCallIds.add(call);
        dueMs = Math.min(dueMs, atMs);
    }

    /** When its reply must leave. */
    double dueMs() {
        return dueMs;
    }

    /** The calls of it that have no final answer yet. */
    List<String> openCallIds() {
        return List.copyOf(openCallIds);
    }

    boolean isComplete() {
        return reply != null;
    }

    /** Bytes that it holds. */
    int size() {
        return reply == null ? 0 : reply.readableBytes();
    }

    /** Whether a command on these keys must wait for this one, as it would for Redis: either changes what both name. */
    boolean blocks(boolean writes, List<String> others) {
        return openCallCount > 0 && (writes || action != Command.Action.READ) && others.stream().anyMatch(keys::contains);
    }

    /** Its reply, which is the taker's from now on. */
    ByteBuf take() {
        ByteBuf taken = reply;
        reply = Unpooled.EMPTY_BUFFER;
        return taken;
    }

    /** Gives back what it holds; answers that still come are dropped. */
    void drop() {
        openCallCount = 0;
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
    ResponseHandler<Content> responseHandler(int index, String id) {
        return new ResponseHandler<>() {
            @Override
            public void served(NodeResponse<Content> answer) {
                if (openCallCount > 0) {
                    absent[index] = answer.content().isAbsent();
                    values[index] = answer.content().bytes().retain();
                }
                ended(CallState.DONE, 0);
            }

            @Override
            public void refused(double retryAfter) {
                ended(CallState.REFUSED, retryAfter);
            }

            @Override
            public void refusedMayHaveRun(double retryAfter) {
                ended(CallState.UNPROVEN, retryAfter);
            }

            @Override
            public void limited(double retryAfter) {
                ended(CallState.LIMITED, retryAfter);
            }

            @Override
            public void failed() {
                ended(CallState.FAILED, 0);
            }

            @Override
            public void reason(Reason reason) {
                reason = reason;
            }

            @Override
            public void recorded(String call) {
                if (openCallCount > 0) {
                    values[index] = Unpooled.EMPTY_BUFFER;
                }
                ended(CallState.DONE, 0);
            }

            @Override
            public void conflict() {
                conflict = true;
                ended(CallState.FAILED, 0);
            }

            private void ended(CallState how, double retryAfter) {
                openCallIds.remove(id);
                connection.callEnded(id);
                if (openCallCount > 0 && callStates[index] == CallState.OPEN) {
                    callStates[index] = how;
                    retryAfterMs = Math.max(retryAfterMs, retryAfter);
                    if (--openCallCount == 0) {
                        finish();
                        connection.commandCompleted(PendingReply.this);
                    }
                }
            }
        };
    }

    /** It makes no sense as a whole; parts that are out already are answered to nobody. */
    void failInvalid(Resp.Err why) {
        drop();
        reply = null;
        write(why);
    }

    private int count(CallState how) {
        int n = 0;
        for (CallState e : callStates) {
            n += e == how ? 1 : 0;
        }
        return n;
    }

    /** An error, with the reason behind it where clients are told. */
    private void writeError(Resp.Err error) {
        write(reason == null || !connection.sendsReasons() ? error : new Resp.Err(error.text() + " [" + reason.code() + "]"));
    }

    private void finish() {
        int done = count(CallState.DONE);
        if (conflict) {
            write(RespErrors.CONFLICT);
        } else if (done == callStates.length) {
            write(result());
        } else if (action == Command.Action.READ && count(CallState.FAILED) == 0) {
            writeError(RespErrors.refused(count(CallState.UNPROVEN) > 0 ? RespErrors.RefusalReason.HARMLESS : count(CallState.LIMITED) > 0 ? RespErrors.RefusalReason.LIMIT
                    : RespErrors.RefusalReason.NOTHING_RAN, retryAfterMs));
        } else if (count(CallState.LIMITED) + count(CallState.REFUSED) == callStates.length) {
            writeError(RespErrors.refused(count(CallState.LIMITED) > 0 ? RespErrors.RefusalReason.LIMIT : RespErrors.RefusalReason.NOTHING_RAN, retryAfterMs));
        } else {
            // A write of which any part may have run never reads as refused.
            writeError(RespErrors.failed(action, done, callStates.length, count(CallState.FAILED) == 0));
        }
        releaseValues();
    }

    private Resp result() {
        return switch (kind) {
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
        reply = connection.allocateBuffer();
        RespWriter.write(reply, value, version);
    }
}

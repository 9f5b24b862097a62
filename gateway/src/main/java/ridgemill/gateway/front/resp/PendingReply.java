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
 * The pending reply of a command. Replies are written in the order of the commands. A command on keys consists of one
 * call per key, and its reply is complete when each call has its final response.
 */
final class PendingReply {

    /** How the results of a command's calls are combined into its reply. */
    enum ReplyKind { VALUE, VALUES, STORED, COUNT, PRESENT }

    /** The state of a call; results are in order of severity, the worst last. */
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
    private double deadlineMs = Double.POSITIVE_INFINITY;
    private double retryAfterMs;
    private boolean conflict;
    private Reason reason;
    private int openCallCount;
    private ByteBuf reply;

    /** Creates the pending reply of a command on these keys, each of which is one call. */
    PendingReply(RespClientConnection connection, int version, ReplyKind kind, Command.Action action,
                 List<String> keys) {
        this.connection = connection;
        this.version = version;
        this.kind = kind;
        this.action = action;
        this.keys = Set.copyOf(keys);
        int callCount = keys.size();
        this.openCallCount = callCount;
        this.callStates = new CallState[callCount];
        this.values = new ByteBuf[callCount];
        this.absent = new boolean[callCount];
        Arrays.fill(callStates, CallState.OPEN);
    }

    /** Returns the complete reply of a command that was answered immediately. */
    static PendingReply answered(RespClientConnection connection, int version, Resp reply) {
        PendingReply pending = new PendingReply(connection, version, ReplyKind.VALUE, Command.Action.READ, List.of());
        pending.write(reply);
        reply.release();
        return pending;
    }

    /** Returns the pending reply of a query that is answered later, by {@link #complete}. */
    static PendingReply pending(RespClientConnection connection, int version) {
        return new PendingReply(connection, version, ReplyKind.VALUE, Command.Action.READ, List.of());
    }

    /** Sets the reply of a query. */
    void complete(Resp value) {
        write(value);
        value.release();
    }

    /** Adds an open call and the time in milliseconds by which it must be answered. */
    void addCall(String callId, double callDeadlineMs) {
        openCallIds.add(callId);
        deadlineMs = Math.min(deadlineMs, callDeadlineMs);
    }

    /** Returns the time by which the reply must be sent, in milliseconds; infinite if there is no limit. */
    double deadlineMs() {
        return deadlineMs;
    }

    /** Returns the ids of the calls that have no final response yet. */
    List<String> openCallIds() {
        return List.copyOf(openCallIds);
    }

    boolean isComplete() {
        return reply != null;
    }

    /** Returns the size of the reply in bytes; 0 if it is not complete. */
    int size() {
        return reply == null ? 0 : reply.readableBytes();
    }

    /**
     * Returns whether a command on the given keys must wait for this one to keep the order that Redis guarantees: both
     * name a key, and at least one of them changes it.
     */
    boolean blocks(boolean writes, List<String> otherKeys) {
        return openCallCount > 0 && (writes || action != Command.Action.READ)
                && otherKeys.stream().anyMatch(keys::contains);
    }

    /** Returns the reply and transfers its ownership to the caller. */
    ByteBuf take() {
        ByteBuf taken = reply;
        reply = Unpooled.EMPTY_BUFFER;
        return taken;
    }

    /** Releases all buffers. Responses that still arrive are dropped. */
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

    /** Returns the handler for the response to one call of this command. */
    ResponseHandler<Content> responseHandler(int index, String id) {
        return new ResponseHandler<>() {
            @Override
            public void served(NodeResponse<Content> response) {
                if (openCallCount > 0) {
                    absent[index] = response.content().isAbsent();
                    values[index] = response.content().bytes().retain();
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
            public void reason(Reason newReason) {
                reason = newReason;
            }

            @Override
            public void recorded(String callId) {
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

            private void ended(CallState state, double retryAfter) {
                openCallIds.remove(id);
                connection.callEnded(id);
                if (openCallCount > 0 && callStates[index] == CallState.OPEN) {
                    callStates[index] = state;
                    retryAfterMs = Math.max(retryAfterMs, retryAfter);
                    if (--openCallCount == 0) {
                        finish();
                        connection.commandCompleted(PendingReply.this);
                    }
                }
            }
        };
    }

    /** Fails the whole command as invalid. Responses to calls that are already submitted are dropped. */
    void failInvalid(Resp.Err error) {
        drop();
        reply = null;
        write(error);
    }

    private int count(CallState state) {
        int n = 0;
        for (CallState s : callStates) {
            n += s == state ? 1 : 0;
        }
        return n;
    }

    /** Writes an error, with the reason code appended if clients receive reasons. */
    private void writeError(Resp.Err error) {
        write(reason == null || !connection.sendsReasons() ? error
                : new Resp.Err(error.text() + " [" + reason.code() + "]"));
    }

    private void finish() {
        int done = count(CallState.DONE);
        if (conflict) {
            write(RespErrors.CONFLICT);
        } else if (done == callStates.length) {
            write(result());
        } else if (action == Command.Action.READ && count(CallState.FAILED) == 0) {
            writeError(RespErrors.refused(count(CallState.UNPROVEN) > 0 ? RespErrors.RefusalReason.HARMLESS
                    : count(CallState.LIMITED) > 0 ? RespErrors.RefusalReason.LIMIT
                    : RespErrors.RefusalReason.NOTHING_RAN, retryAfterMs));
        } else if (count(CallState.LIMITED) + count(CallState.REFUSED) == callStates.length) {
            writeError(RespErrors.refused(count(CallState.LIMITED) > 0 ? RespErrors.RefusalReason.LIMIT
                    : RespErrors.RefusalReason.NOTHING_RAN, retryAfterMs));
        } else {
            // A write of which any call may have run is never reported as refused.
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

    /** Sums the number of deleted keys that nodes return. A response without a number counts as one. */
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

package ridgemill.gateway.front.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannelConfig;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import ridgemill.core.ResponseHandler;
import ridgemill.core.Command;
import ridgemill.core.AdmissionController;
import ridgemill.core.Intake;
import ridgemill.deadline.Deadlines;
import ridgemill.gateway.front.ClientConnection;
import ridgemill.gateway.front.PipelineTimer;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.Targets;
import ridgemill.gateway.net.resp.Resp;
import ridgemill.gateway.net.resp.RespDecoder;
import ridgemill.gateway.net.resp.RespException;
import ridgemill.policy.Reason;
import ridgemill.policy.Router.Request;
import ridgemill.route.RouteQuery;

/**
 * One client's RESP connection. Commands are processed concurrently and answered in order. A command that names a key
 * which an earlier command changes, or changes a key that an earlier command reads, waits for that command, so that
 * results are those of Redis.
 *
 * <p>The number of open commands and the bytes of replies that wait for an earlier reply are limited. At either limit,
 * or while the client does not read its replies, nothing more is read from the connection.
 */
final class RespClientConnection extends ClientConnection {

    /** Limit of commands without a reply on one connection. */
    static final int MAX_OPEN_COMMANDS = 64;
    /** Limit of reply bytes that wait for an earlier reply. Replies of commands that already run may exceed it. */
    static final int MAX_BUFFERED_BYTES = 256 * 1024;
    /** Limit of keys in one command. */
    static final int MAX_KEYS = 128;
    private static final int MAX_KEY_BYTES = 512;
    private static final int REPLY_BUFFER_BYTES = 64;

    /**
     * A command that has not started.
     *
     * @param arrivedNanos when it was read
     * @param stalledMs how long it may have waited before that because the event loop was stalled
     */
    private record QueuedCommand(Resp.Array command, long arrivedNanos, double stalledMs) {

        /** Returns the time since the command arrived, including the time before it was read, in milliseconds. */
        double passedMs() {
            return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - arrivedNanos) / 1e3 + stalledMs;
        }
    }

    private final RespFrontend frontend;
    private final RespDecoder decoder;
    private final Session session;
    private final Queue<QueuedCommand> backlog = new ArrayDeque<>();
    private final Deque<PendingReply> pendingReplies = new ArrayDeque<>();
    private final PipelineTimer<PendingReply> pipelineTimer;
    private final Set<String> openCallIds = new LinkedHashSet<>();
    private final String idPrefix;
    private long nextId;
    private int bufferedBytes;
    private boolean processing;
    private boolean flushing;
    private long writtenNanos;
    /** Set if no further command is started. The connection closes after the last reply. */
    private boolean closing;
    /** Set if the client has closed its sending side and still reads. */
    private boolean inputEnded;

    RespClientConnection(Channel channel, RespFrontend frontend, RespDecoder decoder, long connectionId) {
        super(channel, frontend.table());
        this.frontend = frontend;
        this.decoder = decoder;
        this.session = new Session(frontend, connectionId);
        this.pipelineTimer = new PipelineTimer<>(channel.eventLoop(), frontend.intake()::now, pending -> {
            if (!pending.isComplete()) {
                pending.openCallIds().forEach(frontend.intake()::answerNow);
            }
        });
        if (frontend.allowsHalfClose() && channel.config() instanceof SocketChannelConfig config) {
            config.setAllowHalfClosure(true);
        }
        this.idPrefix = "r" + Long.toString(System.nanoTime() & 0xffffffffL, Character.MAX_RADIX) + "-" + connectionId
                + "-";
    }

    @Override
    protected boolean isLongLived() {
        return true;
    }

    ByteBuf allocateBuffer() {
        return channel().alloc().buffer(REPLY_BUFFER_BYTES);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (phase() == Phase.CLOSING || closing) {
            ((Resp) message).release();
            return;
        }
        if (isOverLimit()) {
            ((Resp) message).release();
            refuseAndClose(RespErrors.refused(RespErrors.RefusalReason.LIMIT, OVER_LIMIT_RETRY_AFTER_MS));
            return;
        }
        if (mustCloseIdle()) {
            // A client that pipelines would keep its connection, and with it the process, from ever ending.
            ((Resp) message).release();
            refuseAndClose(RespErrors.refused(RespErrors.RefusalReason.NOTHING_RAN, 0));
            return;
        }
        Intake<Content> intake = frontend.intake();
        backlog.add(new QueuedCommand((Resp.Array) message, System.nanoTime(),
                intake.deadlines().loopStalls().maxAgeMs(intake.now())));
        processBacklog();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof ChannelInputShutdownEvent) {
            // The client has closed its sending side and still reads. Its replies are sent before closing.
            inputEnded = true;
            if (pendingReplies.isEmpty() && backlog.isEmpty() && !flushing && phase() != Phase.CLOSING) {
                flush();
            }
        }
        super.userEventTriggered(ctx, event);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if ((phase() == Phase.SILENT || phase() == Phase.IDLE) && decoder.isWithin()) {
            enterPhase(Phase.READING);
        }
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        processBacklog();
        ctx.fireChannelWritabilityChanged();
    }

    /** Starts the commands that can start, and reads further input if all have started. */
    private void processBacklog() {
        if (processing || phase() == Phase.CLOSING) {
            return;
        }
        processing = true;
        try {
            while (!backlog.isEmpty() && !closing && hasCapacity() && start(backlog.peek())) {
                backlog.poll().command().release();
            }
        } finally {
            processing = false;
        }
        channel().config().setAutoRead(backlog.isEmpty() && hasCapacity());
    }

    private boolean hasCapacity() {
        return pendingReplies.size() < MAX_OPEN_COMMANDS && bufferedBytes < MAX_BUFFERED_BYTES
                && channel().isWritable();
    }

    /** Starts a command. Returns false if it must wait for an earlier one. */
    private boolean start(QueuedCommand queued) {
        List<Resp> words = queued.command().items();
        CallOptions options = session.options();
        String name = upperCaseWord(words, 0);
        int commandIndex = 0;
        try {
            if (name.equals("RIDGE.WITH")) {
                int index = 1;
                Set<String> optionNames = new HashSet<>();
                for (; index + 1 < words.size() && !upperCaseWord(words, index).equals("DO"); index += 2) {
                    if (!optionNames.add(upperCaseWord(words, index))) {
                        throw new IllegalArgumentException(text(words, index) + " is said twice");
                    }
                    options = options.with(text(words, index), text(words, index + 1), true);
                }
                commandIndex = index + 1;
                if (commandIndex >= words.size()) {
                    throw new IllegalArgumentException(
                            "RIDGE.WITH says options by name and value, then DO and a command");
                }
                name = upperCaseWord(words, commandIndex);
            }
            return execute(name, words.subList(commandIndex, words.size()), options, queued);
        } catch (IllegalArgumentException e) {
            reply(RespErrors.error(e.getMessage()));
            return true;
        }
    }

    private boolean execute(String name, List<Resp> words, CallOptions options, QueuedCommand queued) {
        return switch (name) {
            case "GET" -> executeOnKeys(words, 2, 2, 1, PendingReply.ReplyKind.VALUE, Command.Action.READ, options,
                    queued);
            case "MGET" -> executeOnKeys(words, 2, 1 + MAX_KEYS, 1, PendingReply.ReplyKind.VALUES, Command.Action.READ,
                    options, queued);
            case "EXISTS" -> executeOnKeys(words, 2, 1 + MAX_KEYS, 1, PendingReply.ReplyKind.PRESENT,
                    Command.Action.READ, options, queued);
            case "DEL", "UNLINK" -> executeOnKeys(words, 2, 1 + MAX_KEYS, 1, PendingReply.ReplyKind.COUNT,
                    Command.Action.DELETE, options, queued);
            case "SET" -> set(words, options, queued);
            case "MSET" -> executeOnKeys(words, 3, 1 + 2 * MAX_KEYS, 2, PendingReply.ReplyKind.STORED,
                    Command.Action.WRITE, options, queued);
            case "RIDGE.OUTCOME" -> queryOutcome(words);
            default -> {
                Session.CommandReply result = session.execute(name, words);
                reply(result.reply());
                closing = result.last();
                yield true;
            }
        };
    }

    private boolean set(List<Resp> words, CallOptions options, QueuedCommand queued) {
        if (words.size() > 3) {
            throw new IllegalArgumentException("SET with " + upperCaseWord(words, 3)
                    + " is not kept here: values belong to the store, "
                    + "which knows no conditions and no expiry; nothing ran");
        }
        return executeOnKeys(words, 3, 3, 2, PendingReply.ReplyKind.STORED, Command.Action.WRITE, options, queued);
    }

    /** Executes a command on keys, each followed by {@code step - 1} values. Returns false if it must wait. */
    private boolean executeOnKeys(List<Resp> words, int minWords, int maxWords, int step, PendingReply.ReplyKind kind,
                                  Command.Action action, CallOptions options, QueuedCommand queued) {
        if (words.size() < minWords || words.size() > maxWords || (words.size() - 1) % step != 0) {
            reply(words.size() > maxWords && maxWords > 3
                    ? RespErrors.error("over " + MAX_KEYS + " keys in one command")
                    : RespErrors.wrongArity(text(words, 0)));
            return true;
        }
        if (!session.isAuthorized()) {
            reply(RespErrors.NOAUTH);
            return true;
        }
        List<String> targets = new ArrayList<>();
        for (int i = 1; i < words.size(); i += step) {
            ByteBuf key = ((Resp.Blob) words.get(i)).bytes();
            if (!key.isReadable() || key.readableBytes() > MAX_KEY_BYTES) {
                throw new IllegalArgumentException("a key is 1 to " + MAX_KEY_BYTES + " bytes");
            }
            targets.add(Targets.of(key));
        }
        boolean writes = action != Command.Action.READ;
        if (pendingReplies.stream().anyMatch(s -> s.blocks(writes, targets))) {
            return false;
        }
        requestStarted();
        PendingReply pending = new PendingReply(this, session.protocolVersion(), kind, action, targets);
        pendingReplies.add(pending);
        pipelineTimer.add(pending, Double.POSITIVE_INFINITY);
        double passedMs = queued.passedMs();
        for (int i = 0; i < targets.size(); i++) {
            ByteBuf value = step == 1 ? Unpooled.EMPTY_BUFFER : ((Resp.Blob) words.get(2 + i * step)).bytes();
            submitCall(pending, i, targets.size(), targets.get(i), value, action, options, passedMs);
        }
        pipelineTimer.schedule();
        return true;
    }

    private void submitCall(PendingReply pending, int index, int callCount, String target, ByteBuf value,
                            Command.Action action, CallOptions options, double passedMs) {
        String suffix = callCount > 1 ? "-" + index : "";
        String id = options.id() == null ? idPrefix + nextId++ : options.id() + suffix;
        ResponseHandler<Content> handler = pending.responseHandler(index, id);
        if (frontend.intake().isOpen(id)) {
            rejectCall(pending, "the id " + id + " is in use");
            return;
        }
        boolean writes = action != Command.Action.READ;
        Deadlines deadlines = frontend.intake().deadlines();
        double budgetMs = options.timeoutMs() > 0
                ? deadlines.remainingMs(options.timeoutMs(), passedMs, frontend.returnDelay()) : Double.MAX_VALUE;
        String path = Targets.path(target);
        AdmissionController.Decision decision = frontend.intake().admit(new AdmissionController.AdmissionRequest(id,
                new RouteQuery(method(action), path, session.tenant(), NO_HEADERS), options.requestedClass(),
                options.retry(), value.readableBytes(), budgetMs));
        if (decision instanceof AdmissionController.Rejected rejected) {
            frontend.intake().countRejected(options.requestedClass());
            handler.reason(Reason.LIMIT);
            handler.limited(rejected.retryAfterMs());
            return;
        }
        if (!(decision instanceof AdmissionController.Admitted admitted)) {
            rejectCall(pending, decision instanceof AdmissionController.Invalid invalid
                    && invalid.reason() == AdmissionController.InvalidReason.TOO_LARGE
                    ? "the value is larger than its class allows" : options.requestedClass() == null
                    ? "no route names a class for " + target
                    + ", and neither does the call: RIDGE.WITH class NAME DO ..."
                    : "no class is called " + options.requestedClass());
            return;
        }
        String idempotencyKey = options.idempotencyKey() == null ? null : options.idempotencyKey() + suffix;
        if (admitted.requiresIdempotencyKey(writes) && idempotencyKey == null) {
            frontend.intake().withdraw(admitted, id);
            rejectCall(pending, "class " + admitted.serviceClass().name()
                    + " records each key once and none was given: RIDGE.WITH "
                    + "idempotency-key KEY DO ...");
            return;
        }
        openCallIds.add(id);
        Content content = writes && value.isReadable() ? new Content(Unpooled.copiedBuffer(value), null)
                : Content.EMPTY;
        double remainingMs = Math.min(admitted.budgetMs(),
                deadlines.remainingMs(admitted.serviceClass().deadlineMs(), passedMs, frontend.returnDelay()));
        pending.addCall(id, frontend.intake().now() + remainingMs);
        pipelineTimer.shortenDeadline(pending, pending.deadlineMs());
        Request request = new Request(id, admitted.serviceClass().name(), session.tenant(), Targets.hash(path), 0,
                remainingMs, writes, options.retry());
        frontend.intake().submit(admitted, request, new Command<>(action, target, idempotencyKey, content), handler);
    }

    /**
     * Replies with the outcome of an idempotency key: its state, the id of its call, and since how many milliseconds it
     * has this state; nil for a key without a record.
     */
    private boolean queryOutcome(List<Resp> words) {
        if (words.size() != 2) {
            reply(RespErrors.wrongArity("ridge.outcome"));
            return true;
        }
        if (!session.isAuthorized()) {
            reply(RespErrors.NOAUTH);
            return true;
        }
        requestStarted();
        PendingReply pending = PendingReply.pending(this, session.protocolVersion());
        pendingReplies.add(pending);
        pipelineTimer.add(pending, Double.POSITIVE_INFINITY);
        frontend.intake().findOutcome(text(words, 1), session.tenant(), record -> {
            if (!pending.isComplete()) {
                pending.complete(record == null ? Resp.NULL : Resp.blobs(record.isRunning() ? "running"
                        : record.state().name().toLowerCase(Locale.ROOT), record.callId(),
                        Long.toString(Math.round(frontend.intake().now() - record.stateSinceMs()))));
                commandCompleted(pending);
            }
        });
        return true;
    }

    private static final UnaryOperator<String> NO_HEADERS = name -> null;

    private static String method(Command.Action action) {
        return switch (action) {
            case READ -> "GET";
            case WRITE -> "PUT";
            case DELETE -> "DELETE";
        };
    }

    /** Replies to the whole command with an error because one call is invalid. Its other calls may still run. */
    private void rejectCall(PendingReply pending, String message) {
        if (!pending.isComplete()) {
            pending.failInvalid(RespErrors.error(message + "; nothing of this key ran"));
            commandCompleted(pending);
        }
    }

    private void reply(Resp reply) {
        requestStarted();
        pendingReplies.add(PendingReply.answered(this, session.protocolVersion(), reply));
        pipelineTimer.add(pendingReplies.peekLast(), Double.POSITIVE_INFINITY);
        bufferedBytes += pendingReplies.peekLast().size();
        write();
    }

    boolean sendsReasons() {
        return frontend.sendsReasons();
    }

    /** Called when a call has its final response. */
    void callEnded(String id) {
        openCallIds.remove(id);
    }

    /** Called when the reply of a command is complete. */
    void commandCompleted(PendingReply pending) {
        bufferedBytes += pending.size();
        write();
    }

    /** Writes the complete replies that no earlier one blocks. Flushes once for all replies of one turn of the loop. */
    private void write() {
        if (phase() == Phase.CLOSING) {
            return;
        }
        boolean anyWritten = false;
        while (!pendingReplies.isEmpty() && pendingReplies.peek().isComplete()) {
            PendingReply done = pendingReplies.poll();
            pipelineTimer.removeFirst();
            bufferedBytes -= done.size();
            ChannelFuture written = channel().write(done.take());
            trackWrite(written);
            anyWritten = true;
        }
        if (anyWritten && !flushing) {
            flushing = true;
            writtenNanos = System.nanoTime();
            channel().eventLoop().execute(this::flush);
        }
    }

    private void flush() {
        flushing = false;
        if (pendingReplies.isEmpty() && (closing || (mustCloseIdle() || inputEnded) && backlog.isEmpty())) {
            enterPhase(Phase.CLOSING);
            channel().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        channel().flush();
        frontend.returnDelay().record((System.nanoTime() - writtenNanos) / 1e6);
        if (pendingReplies.isEmpty() && phase() == Phase.BUSY) {
            enterPhase(decoder.isWithin() && backlog.isEmpty() ? Phase.READING : Phase.IDLE);
            markUsed();
        }
        processBacklog();
    }

    /** Refuses a command, of which nothing has run, as the connection's last one. */
    private void refuseAndClose(Resp.Err error) {
        frontend.intake().countRejected(null);
        requestStarted();
        replyAndClose(error);
    }

    /** Sends the connection's last reply. Further input is not processed. */
    private void replyAndClose(Resp.Err error) {
        closing = true;
        pendingReplies.add(PendingReply.answered(this, session.protocolVersion(), error));
        pipelineTimer.add(pendingReplies.peekLast(), Double.POSITIVE_INFINITY);
        drop(backlog);
        write();
    }

    private static void drop(Queue<QueuedCommand> commands) {
        commands.forEach(c -> c.command().release());
        commands.clear();
    }

    @Override
    protected void requestTimedOut() {
        replyAndClose(RespErrors.error("Protocol error: the command has not come in time"));
    }

    @Override
    protected void disconnected() {
        drop(backlog);
        pipelineTimer.cancel();
        List<String> open = List.copyOf(openCallIds);
        openCallIds.clear();
        pendingReplies.forEach(PendingReply::drop);
        pendingReplies.clear();
        open.forEach(frontend.intake()::clientDisconnected);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof RespException && phase() != Phase.CLOSING && !closing) {
            // The replies to earlier commands are sent first; this error is the last reply.
            requestStarted();
            replyAndClose(RespErrors.error("Protocol error: " + cause.getMessage()));
        } else if (!(cause instanceof RespException)) {
            if (!(cause instanceof IOException)) {
                Log.error("a client's connection failed", cause);
            }
            ctx.close();
        }
    }

    private static String text(List<Resp> words, int at) {
        return ((Resp.Blob) words.get(at)).text();
    }

    /** Returns a word of a command in upper case (ASCII letters only), as commands and options are case-insensitive. */
    private static String upperCaseWord(List<Resp> words, int at) {
        ByteBuf bytes = ((Resp.Blob) words.get(at)).bytes();
        StringBuilder word = new StringBuilder(bytes.readableBytes());
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            word.append(c >= 'a' && c <= 'z' ? (char) (c - ('a' - 'A')) : c);
        }
        return word.toString();
    }
}

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
 * One client's RESP connection. Commands are carried out side by side and answered in their order; one that names a key
 * which an earlier one changes, or changes one that an earlier one reads, waits for it, as it would for Redis.
 *
 * <p>Bounded: so many commands, and so many bytes of replies that wait for an earlier one. Past either, or while the client
 * reads none of what it was sent, nothing more is read from it.
 */
final class RespClientConnection extends ClientConnection {

    /** Commands without a reply on one connection. */
    static final int MAX_OPEN_COMMANDS = 64;
    /** Bytes of replies that wait for an earlier one; those of commands that are out already may come on top. */
    static final int MAX_BUFFERED_BYTES = 256 * 1024;
    /** Keys of one command. */
    static final int MAX_KEYS = 128;
    private static final int MAX_KEY_BYTES = 512;
    private static final int REPLY_BUFFER_BYTES = 64;

    /** A command, when it came, and how old it may have been by then. */
    private record QueuedCommand(Resp.Array command, long arrivedNanos, double stalledMs) {

        /** How long it has been here, with what may have passed before that. */
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
    private boolean closing;
    private boolean inputEnded;

    RespClientConnection(Channel channel, RespFrontend front, RespDecoder decoder, long number) {
        super(channel, front.table());
        this.frontend = front;
        this.decoder = decoder;
        this.session = new Session(front, number);
        this.pipelineTimer = new PipelineTimer<>(channel.eventLoop(), front.intake()::now, slot -> {
            if (!slot.isComplete()) {
                slot.openCallIds().forEach(front.intake()::answerNow);
            }
        });
        if (front.allowsHalfClose() && channel.config() instanceof SocketChannelConfig config) {
            config.setAllowHalfClosure(true);
        }
        this.idPrefix = "r" + Long.toString(System.nanoTime() & 0xffffffffL, Character.MAX_RADIX) + "-" + number + "-";
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
            frontend.intake().countRejected(null);
            requestStarted();
            replyAndClose(RespErrors.refused(RespErrors.RefusalReason.LIMIT, OVER_LIMIT_RETRY_AFTER_MS));
            return;
        }
        Intake<Content> intake = frontend.intake();
        backlog.add(new QueuedCommand((Resp.Array) message, System.nanoTime(), intake.deadlines().loopStalls().maxAgeMs(intake.now())));
        processBacklog();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof ChannelInputShutdownEvent) {
            // It sends nothing more, and reads on: its replies come first.
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

    /** Starts what may be started, and reads on where all was. */
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
        return pendingReplies.size() < MAX_OPEN_COMMANDS && bufferedBytes < MAX_BUFFERED_BYTES && channel().isWritable();
    }

    /** Carries a command out; false where it must wait for an earlier one. */
    private boolean start(QueuedCommand waiting) {
        List<Resp> words = waiting.command().items();
        CallOptions options = session.options();
        String name = upperCaseWord(words, 0);
        int from = 0;
        try {
            if (name.equals("RIDGE.WITH")) {
                int at = 1;
                Set<String> said = new HashSet<>();
                for (; at + 1 < words.size() && !upperCaseWord(words, at).equals("DO"); at += 2) {
                    if (!said.add(upperCaseWord(words, at))) {
                        throw new IllegalArgumentException(text(words, at) + " is said twice");
                    }
                    options = options.with(text(words, at), text(words, at + 1), true);
                }
                from = at + 1;
                if (from >= words.size()) {
                    throw new IllegalArgumentException("RIDGE.WITH says options by name and value, then DO and a command");
                }
                name = upperCaseWord(words, from);
            }
            return execute(name, words.subList(from, words.size()), options, waiting);
        } catch (IllegalArgumentException e) {
            reply(RespErrors.error(e.getMessage()));
            return true;
        }
    }

    private boolean execute(String name, List<Resp> words, CallOptions options, QueuedCommand waiting) {
        return switch (name) {
            case "GET" -> executeOnKeys(words, 2, 2, 1, PendingReply.ReplyKind.VALUE, Command.Action.READ, options, waiting);
            case "MGET" -> executeOnKeys(words, 2, 1 + MAX_KEYS, 1, PendingReply.ReplyKind.VALUES, Command.Action.READ, options, waiting);
            case "EXISTS" -> executeOnKeys(words, 2, 1 + MAX_KEYS, 1, PendingReply.ReplyKind.PRESENT, Command.Action.READ, options, waiting);
            case "DEL", "UNLINK" -> executeOnKeys(words, 2, 1 + MAX_KEYS, 1, PendingReply.ReplyKind.COUNT, Command.Action.DELETE, options, waiting);
            case "SET" -> set(words, options, waiting);
            case "MSET" -> executeOnKeys(words, 3, 1 + 2 * MAX_KEYS, 2, PendingReply.ReplyKind.STORED, Command.Action.WRITE, options, waiting);
            case "RIDGE.OUTCOME" -> queryOutcome(words);
            default -> {
                Session.CommandReply said = session.execute(name, words);
                reply(said.reply());
                closing = said.last();
                yield true;
            }
        };
    }

    private boolean set(List<Resp> words, CallOptions options, QueuedCommand waiting) {
        if (words.size() > 3) {
            throw new IllegalArgumentException("SET with " + upperCaseWord(words, 3) + " is not kept here: values belong to the store, "
                    + "which knows no conditions and no expiry; nothing ran");
        }
        return executeOnKeys(words, 3, 3, 2, PendingReply.ReplyKind.STORED, Command.Action.WRITE, options, waiting);
    }

    /** A command on keys, each with {@code step - 1} values behind it. */
    private boolean executeOnKeys(List<Resp> words, int least, int most, int step, PendingReply.ReplyKind shape, Command.Action action,
                          CallOptions options, QueuedCommand waiting) {
        if (words.size() < least || words.size() > most || (words.size() - 1) % step != 0) {
            reply(words.size() > most && most > 3 ? RespErrors.error("over " + MAX_KEYS + " keys in one command")
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
        PendingReply slot = new PendingReply(this, session.protocolVersion(), shape, action, targets);
        pendingReplies.add(slot);
        pipelineTimer.add(slot, Double.POSITIVE_INFINITY);
        double passedMs = waiting.passedMs();
        for (int i = 0; i < targets.size(); i++) {
            ByteBuf value = step == 1 ? Unpooled.EMPTY_BUFFER : ((Resp.Blob) words.get(2 + i * step)).bytes();
            submitCall(slot, i, targets.size(), targets.get(i), value, action, options, passedMs);
        }
        pipelineTimer.schedule();
        return true;
    }

    private void submitCall(PendingReply slot, int index, int parts, String target, ByteBuf value, Command.Action action,
                      CallOptions options, double passedMs) {
        String own = parts > 1 ? "-" + index : "";
        String id = options.id() == null ? idPrefix + nextId++ : options.id() + own;
        ResponseHandler<Content> client = slot.responseHandler(index, id);
        if (frontend.intake().isOpen(id)) {
            rejectCall(slot, "the id " + id + " is in use");
            return;
        }
        boolean writes = action != Command.Action.READ;
        Deadlines deadlines = frontend.intake().deadlines();
        double budget = options.timeoutMs() > 0 ? deadlines.remainingMs(options.timeoutMs(), passedMs, frontend.returnDelay()) : Double.MAX_VALUE;
        String path = Targets.path(target);
        AdmissionController.Decision entry = frontend.intake().admit(new AdmissionController.AdmissionRequest(id, new RouteQuery(method(action), path, session.tenant(),
                NO_HEADERS), options.requestedClass(), options.retry(), value.readableBytes(), budget));
        if (entry instanceof AdmissionController.Rejected refused) {
            frontend.intake().countRejected(options.requestedClass());
            client.reason(Reason.LIMIT);
            client.limited(refused.retryAfterMs());
            return;
        }
        if (!(entry instanceof AdmissionController.Admitted go)) {
            rejectCall(slot, entry instanceof AdmissionController.Invalid unfit && unfit.reason() == AdmissionController.InvalidReason.TOO_LARGE
                    ? "the value is larger than its class allows" : options.requestedClass() == null
                    ? "no route names a class for " + target + ", and neither does the call: RIDGE.WITH class NAME DO ..."
                    : "no class is called " + options.requestedClass());
            return;
        }
        String idempotencyKey = options.idempotencyKey() == null ? null : options.idempotencyKey() + own;
        if (go.requiresIdempotencyKey(writes) && idempotencyKey == null) {
            frontend.intake().withdraw(go, id);
            rejectCall(slot, "class " + go.service().name() + " records each key once and none was given: RIDGE.WITH "
                    + "idempotency-key KEY DO ...");
            return;
        }
        openCallIds.add(id);
        Content content = writes && value.isReadable() ? new Content(Unpooled.copiedBuffer(value), null) : Content.EMPTY;
        double left = Math.min(go.budgetMs(), deadlines.remainingMs(go.service().deadlineMs(), passedMs, frontend.returnDelay()));
        slot.addCall(id, frontend.intake().now() + left);
        pipelineTimer.shortenDeadline(slot, slot.dueMs());
        Request request = new Request(id, go.service().name(), session.tenant(), Targets.hash(path), 0, left, writes, options.retry());
        frontend.intake().submit(go, request, new Command<>(action, target, idempotencyKey, content), client);
    }

    /** What an idempotency key came to: how it stands, the call that it is of, and for how many milliseconds; nil for nothing. */
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
        PendingReply slot = PendingReply.pending(this, session.protocolVersion());
        pendingReplies.add(slot);
        pipelineTimer.add(slot, Double.POSITIVE_INFINITY);
        frontend.intake().findOutcome(text(words, 1), session.tenant(), known -> {
            if (!slot.isComplete()) {
                slot.complete(known == null ? Resp.NULL : Resp.blobs(known.isRunning() ? "running"
                        : known.state().name().toLowerCase(Locale.ROOT), known.callId(),
                        Long.toString(Math.round(frontend.intake().now() - known.stateSinceMs()))));
                commandCompleted(slot);
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

    /** A part makes no sense: the whole command is answered so, though other parts of it may go on. */
    private void rejectCall(PendingReply slot, String why) {
        if (!slot.isComplete()) {
            slot.failInvalid(RespErrors.error(why + "; nothing of this key ran"));
            commandCompleted(slot);
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

    /** A call has its final answer. */
    void callEnded(String id) {
        openCallIds.remove(id);
    }

    /** A command has its reply. */
    void commandCompleted(PendingReply slot) {
        bufferedBytes += slot.size();
        write();
    }

    /** Writes the replies that no earlier one holds up; flushed once for all that ends within one turn of the loop. */
    private void write() {
        if (phase() == Phase.CLOSING) {
            return;
        }
        boolean any = false;
        while (!pendingReplies.isEmpty() && pendingReplies.peek().isComplete()) {
            PendingReply done = pendingReplies.poll();
            pipelineTimer.removeFirst();
            bufferedBytes -= done.size();
            ChannelFuture written = channel().write(done.take());
            trackWrite(written);
            any = true;
        }
        if (any && !flushing) {
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

    /** The last that the client is told; what it sends further is not read. */
    private void replyAndClose(Resp.Err why) {
        closing = true;
        pendingReplies.add(PendingReply.answered(this, session.protocolVersion(), why));
        pipelineTimer.add(pendingReplies.peekLast(), Double.POSITIVE_INFINITY);
        drop(backlog);
        write();
    }

    private static void drop(Queue<QueuedCommand> commands) {
        commands.forEach(w -> w.command().release());
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
        open.forEach(frontend.intake()::clientGone);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof RespException && phase() != Phase.CLOSING && !closing) {
            // Commands before it have their replies first; this one is the last.
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

    /** A command's own word, which is the same in capitals and not. */
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

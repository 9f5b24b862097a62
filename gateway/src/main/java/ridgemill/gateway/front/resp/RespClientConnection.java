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
import ridgemill.gateway.front.OrderWatch;
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
    static final int MOST_OPEN = 64;
    /** Bytes of replies that wait for an earlier one; those of commands that are out already may come on top. */
    static final int MOST_HELD = 256 * 1024;
    /** Keys of one command. */
    static final int MOST_KEYS = 128;
    private static final int MOST_KEY_BYTES = 512;
    private static final int BUFFER = 64;

    /** A command, when it came, and how old it may have been by then. */
    private record Waiting(Resp.Array command, long arrived, double stalledMs) {

        /** How long it has been here, with what may have passed before that. */
        double passedMs() {
            return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - arrived) / 1e3 + stalledMs;
        }
    }

    private final RespFront front;
    private final RespDecoder decoder;
    private final Session session;
    private final Queue<Waiting> backlog = new ArrayDeque<>();
    private final Deque<Slot> slots = new ArrayDeque<>();
    private final OrderWatch<Slot> order;
    private final Set<String> calls = new LinkedHashSet<>();
    private final String prefix;
    private long sent;
    private int held;
    private boolean pumping;
    private boolean flushing;
    private long writtenNanos;
    private boolean last;
    private boolean inputEnded;

    RespClientConnection(Channel channel, RespFront front, RespDecoder decoder, long number) {
        super(channel, front.table());
        this.front = front;
        this.decoder = decoder;
        this.session = new Session(front, number);
        this.order = new OrderWatch<>(channel.eventLoop(), front.intake()::now, slot -> {
            if (!slot.isWhole()) {
                slot.openCalls().forEach(front.intake()::answerNow);
            }
        });
        if (front.halfCloseStays() && channel.config() instanceof SocketChannelConfig config) {
            config.setAllowHalfClosure(true);
        }
        this.prefix = "r" + Long.toString(System.nanoTime() & 0xffffffffL, Character.MAX_RADIX) + "-" + number + "-";
    }

    @Override
    protected boolean staysIdle() {
        return true;
    }

    ByteBuf buffer() {
        return channel().alloc().buffer(BUFFER);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (phase() == Phase.CLOSING || last) {
            ((Resp) message).release();
            return;
        }
        if (isSurplus()) {
            ((Resp) message).release();
            front.intake().countRejected(null);
            busy();
            end(Replies.refused(Replies.Why.LIMIT, SURPLUS_BACK_MS));
            return;
        }
        Intake<Content> intake = front.intake();
        backlog.add(new Waiting((Resp.Array) message, System.nanoTime(), intake.deadlines().loopStalls().maxAgeMs(intake.now())));
        pump();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof ChannelInputShutdownEvent) {
            // It sends nothing more, and reads on: its replies come first.
            inputEnded = true;
            if (slots.isEmpty() && backlog.isEmpty() && !flushing && phase() != Phase.CLOSING) {
                flush();
            }
        }
        super.userEventTriggered(ctx, event);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if ((phase() == Phase.SILENT || phase() == Phase.IDLE) && decoder.isWithin()) {
            enter(Phase.READING);
        }
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        pump();
        ctx.fireChannelWritabilityChanged();
    }

    /** Starts what may be started, and reads on where all was. */
    private void pump() {
        if (pumping || phase() == Phase.CLOSING) {
            return;
        }
        pumping = true;
        try {
            while (!backlog.isEmpty() && !last && hasRoom() && start(backlog.peek())) {
                backlog.poll().command().release();
            }
        } finally {
            pumping = false;
        }
        channel().config().setAutoRead(backlog.isEmpty() && hasRoom());
    }

    private boolean hasRoom() {
        return slots.size() < MOST_OPEN && held < MOST_HELD && channel().isWritable();
    }

    /** Carries a command out; false where it must wait for an earlier one. */
    private boolean start(Waiting waiting) {
        List<Resp> words = waiting.command().items();
        CallOptions options = session.options();
        String name = word(words, 0);
        int from = 0;
        try {
            if (name.equals("RIDGE.WITH")) {
                int at = 1;
                Set<String> said = new HashSet<>();
                for (; at + 1 < words.size() && !word(words, at).equals("DO"); at += 2) {
                    if (!said.add(word(words, at))) {
                        throw new IllegalArgumentException(text(words, at) + " is said twice");
                    }
                    options = options.with(text(words, at), text(words, at + 1), true);
                }
                from = at + 1;
                if (from >= words.size()) {
                    throw new IllegalArgumentException("RIDGE.WITH says options by name and value, then DO and a command");
                }
                name = word(words, from);
            }
            return data(name, words.subList(from, words.size()), options, waiting);
        } catch (IllegalArgumentException e) {
            answer(Replies.error(e.getMessage()));
            return true;
        }
    }

    private boolean data(String name, List<Resp> words, CallOptions options, Waiting waiting) {
        return switch (name) {
            case "GET" -> calls(words, 2, 2, 1, Slot.Shape.VALUE, Command.Action.READ, options, waiting);
            case "MGET" -> calls(words, 2, 1 + MOST_KEYS, 1, Slot.Shape.VALUES, Command.Action.READ, options, waiting);
            case "EXISTS" -> calls(words, 2, 1 + MOST_KEYS, 1, Slot.Shape.PRESENT, Command.Action.READ, options, waiting);
            case "DEL", "UNLINK" -> calls(words, 2, 1 + MOST_KEYS, 1, Slot.Shape.COUNT, Command.Action.DELETE, options, waiting);
            case "SET" -> set(words, options, waiting);
            case "MSET" -> calls(words, 3, 1 + 2 * MOST_KEYS, 2, Slot.Shape.STORED, Command.Action.WRITE, options, waiting);
            case "RIDGE.OUTCOME" -> outcome(words);
            default -> {
                Session.Said said = session.command(name, words);
                answer(said.reply());
                last = said.last();
                yield true;
            }
        };
    }

    private boolean set(List<Resp> words, CallOptions options, Waiting waiting) {
        if (words.size() > 3) {
            throw new IllegalArgumentException("SET with " + word(words, 3) + " is not kept here: values belong to the store, "
                    + "which knows no conditions and no expiry; nothing ran");
        }
        return calls(words, 3, 3, 2, Slot.Shape.STORED, Command.Action.WRITE, options, waiting);
    }

    /** A command on keys, each with {@code step - 1} values behind it. */
    private boolean calls(List<Resp> words, int least, int most, int step, Slot.Shape shape, Command.Action action,
                          CallOptions options, Waiting waiting) {
        if (words.size() < least || words.size() > most || (words.size() - 1) % step != 0) {
            answer(words.size() > most && most > 3 ? Replies.error("over " + MOST_KEYS + " keys in one command")
                    : Replies.arguments(text(words, 0)));
            return true;
        }
        if (!session.mayAsk()) {
            answer(Replies.NOAUTH);
            return true;
        }
        List<String> targets = new ArrayList<>();
        for (int i = 1; i < words.size(); i += step) {
            ByteBuf key = ((Resp.Blob) words.get(i)).bytes();
            if (!key.isReadable() || key.readableBytes() > MOST_KEY_BYTES) {
                throw new IllegalArgumentException("a key is 1 to " + MOST_KEY_BYTES + " bytes");
            }
            targets.add(Targets.of(key));
        }
        boolean writes = action != Command.Action.READ;
        if (slots.stream().anyMatch(s -> s.holdsUp(writes, targets))) {
            return false;
        }
        busy();
        Slot slot = new Slot(this, session.version(), shape, action, targets);
        slots.add(slot);
        order.add(slot, Double.POSITIVE_INFINITY);
        double passedMs = waiting.passedMs();
        for (int i = 0; i < targets.size(); i++) {
            ByteBuf value = step == 1 ? Unpooled.EMPTY_BUFFER : ((Resp.Blob) words.get(2 + i * step)).bytes();
            call(slot, i, targets.size(), targets.get(i), value, action, options, passedMs);
        }
        order.watch();
        return true;
    }

    private void call(Slot slot, int index, int parts, String target, ByteBuf value, Command.Action action,
                      CallOptions options, double passedMs) {
        String own = parts > 1 ? "-" + index : "";
        String id = options.id() == null ? prefix + sent++ : options.id() + own;
        ResponseHandler<Content> client = slot.part(index, id);
        if (front.intake().isOpen(id)) {
            refuse(slot, "the id " + id + " is in use");
            return;
        }
        boolean writes = action != Command.Action.READ;
        Deadlines deadlines = front.intake().deadlines();
        double budget = options.deadlineMs() > 0 ? deadlines.remainingMs(options.deadlineMs(), passedMs, front.wayBack()) : Double.MAX_VALUE;
        String path = Targets.path(target);
        AdmissionController.Decision entry = front.intake().admit(new AdmissionController.AdmissionRequest(id, new RouteQuery(method(action), path, session.tenant(),
                NO_HEADERS), options.service(), options.again(), value.readableBytes(), budget));
        if (entry instanceof AdmissionController.Rejected refused) {
            front.intake().countRejected(options.service());
            client.reason(Reason.LIMIT);
            client.limited(refused.retryAfterMs());
            return;
        }
        if (!(entry instanceof AdmissionController.Admitted go)) {
            refuse(slot, entry instanceof AdmissionController.Invalid unfit && unfit.reason() == AdmissionController.InvalidReason.TOO_LARGE
                    ? "the value is larger than its class allows" : options.service() == null
                    ? "no route names a class for " + target + ", and neither does the call: RIDGE.WITH class NAME DO ..."
                    : "no class is called " + options.service());
            return;
        }
        String idempotencyKey = options.idempotencyKey() == null ? null : options.idempotencyKey() + own;
        if (go.requiresIdempotencyKey(writes) && idempotencyKey == null) {
            front.intake().withdraw(go, id);
            refuse(slot, "class " + go.service().name() + " records each key once and none was given: RIDGE.WITH "
                    + "idempotency-key KEY DO ...");
            return;
        }
        calls.add(id);
        Content content = writes && value.isReadable() ? new Content(Unpooled.copiedBuffer(value), null) : Content.EMPTY;
        double left = Math.min(go.budgetMs(), deadlines.remainingMs(go.service().deadlineMs(), passedMs, front.wayBack()));
        slot.due(id, front.intake().now() + left);
        order.due(slot, slot.dueMs());
        Request request = new Request(id, go.service().name(), session.tenant(), Targets.hash(path), 0, left, writes, options.again());
        front.intake().submit(go, request, new Command<>(action, target, idempotencyKey, content), client);
    }

    /** What an idempotency key came to: how it stands, the call that it is of, and for how many milliseconds; nil for nothing. */
    private boolean outcome(List<Resp> words) {
        if (words.size() != 2) {
            answer(Replies.arguments("ridge.outcome"));
            return true;
        }
        if (!session.mayAsk()) {
            answer(Replies.NOAUTH);
            return true;
        }
        busy();
        Slot slot = Slot.awaited(this, session.version());
        slots.add(slot);
        order.add(slot, Double.POSITIVE_INFINITY);
        front.intake().findOutcome(text(words, 1), session.tenant(), known -> {
            if (!slot.isWhole()) {
                slot.fill(known == null ? Resp.NULL : Resp.blobs(known.isRunning() ? "running"
                        : known.state().name().toLowerCase(Locale.ROOT), known.callId(),
                        Long.toString(Math.round(front.intake().now() - known.stateSinceMs()))));
                whole(slot);
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
    private void refuse(Slot slot, String why) {
        if (!slot.isWhole()) {
            slot.invalid(Replies.error(why + "; nothing of this key ran"));
            whole(slot);
        }
    }

    private void answer(Resp reply) {
        busy();
        slots.add(Slot.answered(this, session.version(), reply));
        order.add(slots.peekLast(), Double.POSITIVE_INFINITY);
        held += slots.peekLast().held();
        write();
    }

    boolean tellsWhy() {
        return front.tellsWhy();
    }

    /** A call has its final answer. */
    void settled(String id) {
        calls.remove(id);
    }

    /** A command has its reply. */
    void whole(Slot slot) {
        held += slot.held();
        write();
    }

    /** Writes the replies that no earlier one holds up; flushed once for all that ends within one turn of the loop. */
    private void write() {
        if (phase() == Phase.CLOSING) {
            return;
        }
        boolean any = false;
        while (!slots.isEmpty() && slots.peek().isWhole()) {
            Slot done = slots.poll();
            order.left();
            held -= done.held();
            ChannelFuture written = channel().write(done.take());
            writing(written);
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
        if (slots.isEmpty() && (last || (mustEnd() || inputEnded) && backlog.isEmpty())) {
            enter(Phase.CLOSING);
            channel().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        channel().flush();
        front.wayBack().record((System.nanoTime() - writtenNanos) / 1e6);
        if (slots.isEmpty() && phase() == Phase.BUSY) {
            enter(decoder.isWithin() && backlog.isEmpty() ? Phase.READING : Phase.IDLE);
            used();
        }
        pump();
    }

    /** The last that the client is told; what it sends further is not read. */
    private void end(Resp.Err why) {
        last = true;
        slots.add(Slot.answered(this, session.version(), why));
        order.add(slots.peekLast(), Double.POSITIVE_INFINITY);
        drop(backlog);
        write();
    }

    private static void drop(Queue<Waiting> commands) {
        commands.forEach(w -> w.command().release());
        commands.clear();
    }

    @Override
    protected void tooSlow() {
        end(Replies.error("Protocol error: the command has not come in time"));
    }

    @Override
    protected void left() {
        drop(backlog);
        order.close();
        List<String> open = List.copyOf(calls);
        calls.clear();
        slots.forEach(Slot::drop);
        slots.clear();
        open.forEach(front.intake()::clientGone);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof RespException && phase() != Phase.CLOSING && !last) {
            // Commands before it have their replies first; this one is the last.
            busy();
            end(Replies.error("Protocol error: " + cause.getMessage()));
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
    private static String word(List<Resp> words, int at) {
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

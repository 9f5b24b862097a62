package ridgemill.gateway.back.resp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import ridgemill.core.Attempt;
import ridgemill.core.Command;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.Targets;
import ridgemill.gateway.net.resp.Resp;
import ridgemill.gateway.net.resp.RespDecoder;
import ridgemill.gateway.net.resp.RespException;
import ridgemill.gateway.net.resp.RespLimits;
import ridgemill.gateway.net.resp.RespParser;
import ridgemill.gateway.net.resp.RespWriter;
import ridgemill.policy.Router.Outcome;

/**
 * A connection to a node with many pipelined commands. Replies are matched to commands by order only, so a reply that
 * cannot be matched closes the connection, and all commands awaiting a reply end as possibly executed. An abandoned
 * command keeps its place until its reply has arrived, which is then dropped.
 */
final class RespConnection extends ChannelInboundHandlerAdapter {

    /** Prefix of the keys under which the origin remembers the idempotency keys of writes. */
    private static final String DEDUPLICATION_KEY_PREFIX = "ridge:once:";

    private enum State { OPENING, HELLO, AUTH, READY, CLOSED }

    private final RespBackend backend;
    final RespBackend.Target target;
    private final Deque<RespExchange> awaitingHandshake = new ArrayDeque<>();
    private final Deque<RespExchange> awaitingReply = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private State state = State.OPENING;
    private boolean flushScheduled;
    /** Abandoned commands whose replies have not arrived. */
    private int abandonedReplies;
    /** An abandoned command timed out: commands sent behind it would wait for its reply too. */
    private boolean blocked;
    /**
     * Set after an authentication or protocol error: no more commands are accepted, and the connection closes when all
     * sent commands have their replies.
     */
    private boolean closing;
    long idleSinceNanos;

    RespConnection(RespBackend back, RespBackend.Target target) {
        this.backend = back;
        this.target = target;
    }

    void install(ChannelPipeline pipeline) {
        pipeline.addLast(new RespDecoder(RespParser.values(RespLimits.REPLY)), this);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Commands without a reply, including abandoned ones. */
    int pendingCommands() {
        return awaitingHandshake.size() + awaitingReply.size();
    }

    /** Whether an internal command, for which no client waits, may be sent on this connection. */
    boolean canSendInternal() {
        return state == State.READY && isUsable() && pendingCommands() < RespBackend.NEW_CONNECTION_THRESHOLD;
    }

    /** Whether more commands may be sent: no command that timed out blocks the connection. */
    boolean isUsable() {
        return state != State.CLOSED && !blocked && !closing;
    }

    boolean isIdle() {
        return state == State.READY && pendingCommands() == 0;
    }

    void send(RespExchange exchange) {
        exchange.connection = this;
        if (state == State.READY) {
            write(exchange);
        } else {
            awaitingHandshake.add(exchange);
        }
    }

    /** The connection is open: authenticates and requests RESP3 before any command is sent. */
    void connected(double connectMs) {
        awaitingHandshake.stream().filter(e -> e.attempt() != null).limit(1)
                .forEach(e -> e.attempt().connected(connectMs));
        state = State.HELLO;
        RespNodeConfig config = backend.nodeConfig();
        ByteBuf hello = context.alloc().buffer();
        if (config.password() == null) {
            RespWriter.write(hello, Resp.blobs("HELLO", "3"), RespWriter.V3);
        } else {
            RespWriter.write(hello, Resp.blobs("HELLO", "3", "AUTH", config.user() == null ? "default" : config.user(),
                    config.password()), RespWriter.V3);
        }
        context.writeAndFlush(hello);
    }

    /** Connecting failed. */
    void connectFailed() {
        if (state != State.CLOSED) {
            markClosed();
        }
    }

    private void write(RespExchange exchange) {
        awaitingReply.add(exchange);
        exchange.queuedForWrite = true;
        context.write(buildMessage(exchange)).addListener(f -> {
            if (f.isSuccess()) {
                exchange.written = true;
                if (exchange.attempt() != null && !needsKeyClaim(exchange)) {
                    exchange.attempt().written();
                }
            } else {
                close();
            }
        });
        scheduleFlush();
    }

    /** Flushes once for all commands that are written in one iteration of the event loop. */
    private void scheduleFlush() {
        if (!flushScheduled) {
            flushScheduled = true;
            context.executor().execute(() -> {
                flushScheduled = false;
                context.flush();
            });
        }
    }

    /** Whether this is a keyed write whose key must first be recorded at an origin that does not deduplicate itself. */
    private boolean needsKeyClaim(RespExchange exchange) {
        return exchange.attempt() != null && !exchange.keyClaimed && backend.nodeConfig().deduplicationWindowMs() > 0
                && exchange.attempt().command().write() && exchange.attempt().command().idempotencyKey() != null;
    }

    private ByteBuf buildMessage(RespExchange exchange) {
        ByteBuf bytes = context.alloc().buffer();
        Attempt<Content> attempt = exchange.attempt();
        if (exchange.internalCommand() != null) {
            RespWriter.write(bytes, exchange.internalCommand(), RespWriter.V2);
            return bytes;
        }
        if (attempt == null) {
            RespWriter.arrayHead(bytes, 1);
            RespWriter.blob(bytes, "PING");
            return bytes;
        }
        Command<Content> command = attempt.command();
        if (needsKeyClaim(exchange)) {
            // Instead of the write, first asks the origin to record the key unless it has it already.
            RespWriter.write(bytes, Resp.blobs("SET", DEDUPLICATION_KEY_PREFIX + command.idempotencyKey(),
                    attempt.requestId(), "NX", "PX",
                    Long.toString(Math.round(backend.nodeConfig().deduplicationWindowMs()))), RespWriter.V2);
            return bytes;
        }
        int elementCount = command.action() == Command.Action.WRITE ? 3 : 2;
        if (backend.nodeConfig().dialect() == RespNodeConfig.Dialect.FLEET) {
            RespWriter.arrayHead(bytes, elementCount + 6 + (command.idempotencyKey() == null ? 0 : 2));
            RespWriter.blob(bytes, "RIDGE.WITH");
            RespWriter.blob(bytes, "id");
            RespWriter.blob(bytes, attempt.requestId());
            RespWriter.blob(bytes, "budget");
            RespWriter.blob(bytes, Math.max(1, Math.round(attempt.remainingMs())) + "ms");
            if (command.idempotencyKey() != null) {
                RespWriter.blob(bytes, "idempotency-key");
                RespWriter.blob(bytes, command.idempotencyKey());
            }
            RespWriter.blob(bytes, "DO");
        } else {
            RespWriter.arrayHead(bytes, elementCount);
        }
        RespWriter.blob(bytes, switch (command.action()) {
            case READ -> "GET";
            case WRITE -> "SET";
            case DELETE -> "DEL";
        });
        byte[] key = Targets.key(command.target());
        bytes.writeCharSequence("$" + key.length + "\r\n", StandardCharsets.US_ASCII);
        bytes.writeBytes(key).writeByte('\r').writeByte('\n');
        if (command.action() == Command.Action.WRITE) {
            RespWriter.blob(bytes, command.content().bytes());
        }
        return bytes;
    }

    /**
     * A command was abandoned. It keeps its place until its reply has arrived. If no other command is waiting on this
     * connection, the connection is closed, unless the node was asked to cancel the command.
     */
    void abandoned(RespExchange exchange, boolean timedOut) {
        if (awaitingHandshake.remove(exchange)) {
            return;
        }
        boolean cancelSent = backend.nodeConfig().supportsCancel() && exchange.attempt() != null
                && state == State.READY;
        if (cancelSent) {
            // The node still replies in order, so the connection stays usable and others are not blocked for long.
            ByteBuf bytes = context.alloc().buffer();
            RespWriter.write(bytes, Resp.blobs("RIDGE.CANCEL", exchange.attempt().requestId()), RespWriter.V2);
            context.write(bytes);
            scheduleFlush();
        } else if (awaitingReply.stream().allMatch(RespExchange::isEnded)) {
            close();
            return;
        }
        abandonedReplies++;
        blocked |= timedOut;
        // Other commands may still get replies. A reply that is missing for too long blocks all commands behind it.
        backend.scheduleAbandonedReplyCheck(() -> {
            if (awaitingReply.contains(exchange)) {
                close();
            }
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        Resp reply = (Resp) message;
        try {
            if (reply instanceof Resp.Push push) {
                pushReceived(push);
            } else if (state == State.READY) {
                replyReceived(reply);
            } else {
                handshakeReplyReceived(reply);
            }
        } finally {
            reply.release();
        }
    }

    private void pushReceived(Resp.Push push) {
        String kind = push.items().isEmpty() ? "" : ReplyClassifier.textOf(push.items().get(0));
        if (kind.equals("ridge.drain")) {
            backend.nodeDraining(target);
        }
        // Other pushes, such as invalidations, are ignored, as the gateway caches no values.
    }

    private void handshakeReplyReceived(Resp reply) {
        if (reply instanceof Resp.Err error) {
            boolean unsupported = state == State.HELLO
                    && (error.code().equals("ERR") || error.code().equals("NOPROTO"));
            if (!unsupported) {
                Log.info("node " + target.name() + " takes no connection: " + error.text());
                Outcome outcome = ReplyClassifier.isNotExecuted(error) ? Outcome.REJECTED : Outcome.CONNECT_FAILED;
                drain(awaitingHandshake).forEach(e -> e.end(outcome, null));
                close();
            } else if (backend.nodeConfig().password() != null) {
                state = State.AUTH;
                ByteBuf auth = context.alloc().buffer();
                RespNodeConfig config = backend.nodeConfig();
                RespWriter.write(auth, config.user() == null ? Resp.blobs("AUTH", config.password())
                        : Resp.blobs("AUTH", config.user(), config.password()), RespWriter.V2);
                context.writeAndFlush(auth);
            } else {
                handshakeCompleted();
            }
        } else {
            handshakeCompleted();
        }
    }

    private void handshakeCompleted() {
        state = State.READY;
        idleSinceNanos = System.nanoTime();
        drain(awaitingHandshake).forEach(e -> {
            if (!e.isEnded() && e.attempt() != null && !e.attempt().mayBeWritten()) {
                e.end(Outcome.NEVER_SENT, null);
            } else if (!e.isEnded()) {
                write(e);
            }
        });
    }

    private static List<RespExchange> drain(Deque<RespExchange> queue) {
        List<RespExchange> all = List.copyOf(queue);
        queue.clear();
        return all;
    }

    private void replyReceived(Resp reply) {
        RespExchange exchange = awaitingReply.poll();
        if (exchange == null || !exchange.written) {
            // No command has been written for this reply, so neither it nor later ones can be matched to commands.
            if (exchange != null) {
                awaitingReply.addFirst(exchange);
            }
            protocolError("a reply to nothing");
            return;
        }
        if (backend.nodeConfig().dialect() == RespNodeConfig.Dialect.FLEET && exchange.attempt() != null
                && reply instanceof Resp.Attributed a
                && !ReplyClassifier.matchesRequest(a, exchange.attempt().requestId())) {
            awaitingReply.addFirst(exchange);
            protocolError("a reply to another call");
            return;
        }
        if (exchange.isEnded()) {
            abandonedReplies--;
            blocked &= abandonedReplies > 0;
        } else {
            Resp value = reply instanceof Resp.Attributed a ? a.value() : reply;
            if (needsKeyClaim(exchange) && value instanceof Resp.Simple) {
                exchange.keyClaimed = true;
                exchange.written = false;
                write(exchange);
            } else if (needsKeyClaim(exchange) && value instanceof Resp.Null) {
                // Another request has recorded this key. Whether its write ran is unknown here, and the write must not
                // run twice.
                exchange.end(Outcome.ERROR, null);
            } else if (exchange.attempt() == null) {
                exchange.end(value instanceof Resp.Err ? Outcome.REJECTED : Outcome.OK, null);
            } else {
                ReplyClassifier.Result result = ReplyClassifier.classify(reply, exchange.attempt().command().action(),
                        backend.nodeConfig().missIsFinal());
                backend.responseReceived(target, exchange.attempt(), result);
                exchange.end(result.outcome(), result.response());
            }
            if (ReplyClassifier.isDraining(value)) {
                backend.nodeDraining(target);
            }
            closing |= value instanceof Resp.Err e && (e.code().equals("NOAUTH") || e.code().equals("WRONGPASS"));
        }
        if (awaitingReply.isEmpty()) {
            idleSinceNanos = System.nanoTime();
            if (closing || !target.isCurrent() || target.isDraining()) {
                close();
            }
        }
    }

    /** Handles invalid input. It may have been meant for the first waiting command; all sent commands may have run. */
    private void protocolError(String reason) {
        Log.info("connection to node " + target.name() + " closed: " + reason);
        // Commands that result from ending the first exchange must not be sent on this connection.
        closing = true;
        RespExchange first = awaitingReply.peek();
        if (first != null && first.written) {
            first.end(Outcome.ERROR, null);
        }
        close();
    }

    /** Closes the connection: no more commands are sent, and pending exchanges end as on a lost connection. */
    void close() {
        if (state != State.CLOSED) {
            markClosed();
            context.close();
        }
    }

    private void markClosed() {
        state = State.CLOSED;
        backend.connectionClosed(this);
        drain(awaitingReply).forEach(RespExchange::connectionLost);
        drain(awaitingHandshake).forEach(RespExchange::connectionLost);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (state != State.CLOSED) {
            markClosed();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof RespException) {
            protocolError(cause.getMessage());
        } else {
            if (!(cause instanceof IOException)) {
                Log.error("a node's connection failed", cause);
            }
            close();
        }
    }
}

package ridgemill.gateway.back.resp;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import ridgemill.core.NodeResponse;
import ridgemill.core.Command;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.resp.Resp;
import ridgemill.policy.Router.Outcome;

/**
 * Derives the outcome of an attempt from a node's reply. Errors that Redis returns before it executes a command prove
 * that nothing was executed; all other errors prove nothing.
 */
final class ReplyClassifier {

    /**
     * Error codes that are returned before a command is executed: the node is loading its data; is busy with a script;
     * does not own the key; is a read-only replica; is out of memory for a write; has too few replicas or failed to
     * save, which are checked before a write; denies access; part of the cluster is down; the node is draining.
     */
    private static final Set<String> NOT_EXECUTED_CODES = Set.of("LOADING", "BUSY", "MOVED", "ASK", "READONLY", "OOM",
            "NOREPLICAS", "MISCONF", "NOAUTH", "NOPERM", "WRONGPASS", "CLUSTERDOWN", "MASTERDOWN", "TRYAGAIN",
            "DRAINING");

    /** The result of an attempt. The response's bytes belong to the reply, which its owner releases. */
    record Result(Outcome outcome, NodeResponse<Content> response) { }

    private ReplyClassifier() { }

    /** Whether the error proves that the command was not executed. */
    static boolean isNotExecuted(Resp.Err error) {
        return NOT_EXECUTED_CODES.contains(error.code());
    }

    /** Whether the reply reports that the node is draining and takes no new work. */
    static boolean isDraining(Resp reply) {
        return reply instanceof Resp.Err e && e.code().equals("DRAINING");
    }

    /**
     * Classifies the reply to a command; {@code missIsFinal} says whether a missing value is the final response, as
     * there is no origin to ask.
     */
    static Result classify(Resp reply, Command.Action action, boolean missIsFinal) {
        int cacheStatus = NodeResponse.NO_CACHE_STATUS;
        Resp value = reply;
        if (reply instanceof Resp.Attributed a) {
            cacheStatus = cacheStatus(a.attributes());
            value = a.value();
        }
        if (value instanceof Resp.Err e) {
            return new Result(isNotExecuted(e) ? Outcome.REJECTED : Outcome.ERROR, null);
        }
        if (value instanceof Resp.Null) {
            return action != Command.Action.READ ? new Result(Outcome.ERROR, null)
                    : missIsFinal ? new Result(Outcome.OK, new NodeResponse<>(Content.ABSENT, cacheStatus))
                    : new Result(Outcome.MISS, new NodeResponse<>(Content.EMPTY, cacheStatus));
        }
        Content content = value instanceof Resp.Blob b ? new Content(b.bytes(), null)
                : value instanceof Resp.Verbatim v ? new Content(v.bytes(), null)
                : value instanceof Resp.Num n && action == Command.Action.DELETE ? text(Long.toString(n.value()))
                : value instanceof Resp.Simple && action != Command.Action.READ ? Content.EMPTY : null;
        // A reply of any other type does not fit the command.
        return content == null ? new Result(Outcome.ERROR, null)
                : new Result(Outcome.OK, new NodeResponse<>(content, cacheStatus));
    }

    private static Content text(String text) {
        return new Content(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII), null);
    }

    private static int cacheStatus(Resp.MapOf attributes) {
        return switch (attribute(attributes, "hit")) {
            case "hit" -> NodeResponse.HIT;
            case "miss" -> NodeResponse.MISS;
            case "pending" -> NodeResponse.PENDING;
            default -> NodeResponse.NO_CACHE_STATUS;
        };
    }

    /** Whether the reply belongs to the request {@code id}; a reply without an id is assumed to. */
    static boolean matchesRequest(Resp.Attributed reply, String id) {
        String replyId = attribute(reply.attributes(), "id");
        return replyId.isEmpty() || replyId.equals(id);
    }

    /** The value of an attribute; empty if there is none. */
    private static String attribute(Resp.MapOf attributes, String name) {
        for (int i = 0; i + 1 < attributes.pairs().size(); i += 2) {
            if (textOf(attributes.pairs().get(i)).equals(name)) {
                return textOf(attributes.pairs().get(i + 1));
            }
        }
        return "";
    }

    /** The text of a simple or blob string; empty for other types. */
    static String textOf(Resp value) {
        return value instanceof Resp.Simple s ? s.text() : value instanceof Resp.Blob b ? b.text() : "";
    }
}

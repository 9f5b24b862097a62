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
 * What a node's reply says of an attempt. Errors that Redis gives before it carries a command out prove that nothing ran;
 * all others prove nothing.
 */
final class ReplyClassifier {

    /**
     * Loading its data; held by a script; not the owner of the key; a replica; out of memory for a write; too few replicas
     * or a failed save, which are checked before a write; no rights; part of the cluster is down; draining.
     */
    private static final Set<String> NOT_EXECUTED_CODES = Set.of("LOADING", "BUSY", "MOVED", "ASK", "READONLY", "OOM", "NOREPLICAS",
            "MISCONF", "NOAUTH", "NOPERM", "WRONGPASS", "CLUSTERDOWN", "MASTERDOWN", "TRYAGAIN", "DRAINING");

    /** What an attempt came to; the answer's bytes are the reply's own, which is released by whoever had it. */
    record Result(Outcome outcome, NodeResponse<Content> response) { }

    private ReplyClassifier() { }

    static boolean isNotExecuted(Resp.Err error) {
        return NOT_EXECUTED_CODES.contains(error.code());
    }

    /** Whether the node says that it takes no new work. */
    static boolean isDraining(Resp reply) {
        return reply instanceof Resp.Err e && e.code().equals("DRAINING");
    }

    static Result classify(Resp reply, Command.Action action, boolean missIsAnswer) {
        int note = NodeResponse.NO_CACHE_STATUS;
        Resp value = reply;
        if (reply instanceof Resp.Attributed a) {
            note = cacheStatus(a.attributes());
            value = a.value();
        }
        if (value instanceof Resp.Err e) {
            return new Result(isNotExecuted(e) ? Outcome.REJECTED : Outcome.ERROR, null);
        }
        if (value instanceof Resp.Null) {
            return action != Command.Action.READ ? new Result(Outcome.ERROR, null)
                    : missIsAnswer ? new Result(Outcome.OK, new NodeResponse<>(Content.ABSENT, note))
                    : new Result(Outcome.MISS, new NodeResponse<>(Content.EMPTY, note));
        }
        Content content = value instanceof Resp.Blob b ? new Content(b.bytes(), null)
                : value instanceof Resp.Verbatim v ? new Content(v.bytes(), null)
                : value instanceof Resp.Num n && action == Command.Action.DELETE ? text(Long.toString(n.value()))
                : value instanceof Resp.Simple && action != Command.Action.READ ? Content.EMPTY : null;
        // A reply of another type is none to what was asked.
        return content == null ? new Result(Outcome.ERROR, null) : new Result(Outcome.OK, new NodeResponse<>(content, note));
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

    /** Whether a reply that names its call names this one; one that names none is taken for it. */
    static boolean matchesRequest(Resp.Attributed reply, String id) {
        String named = attribute(reply.attributes(), "id");
        return named.isEmpty() || named.equals(id);
    }

    private static String attribute(Resp.MapOf attributes, String name) {
        for (int i = 0; i + 1 < attributes.pairs().size(); i += 2) {
            if (textOf(attributes.pairs().get(i)).equals(name)) {
                return textOf(attributes.pairs().get(i + 1));
            }
        }
        return "";
    }

    static String textOf(Resp value) {
        return value instanceof Resp.Simple s ? s.text() : value instanceof Resp.Blob b ? b.text() : "";
    }
}

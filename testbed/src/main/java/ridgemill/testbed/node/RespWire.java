package ridgemill.testbed.node;

import io.netty.channel.ChannelHandler;
import java.util.List;
import java.util.Locale;
import ridgemill.testbed.resp.NaiveResp.Value;
import ridgemill.testbed.resp.RespValues;

/** RESP3 as the fleet's nodes speak it: calls come by {@code RIDGE.WITH}, and replies name their call by an attribute. */
final class RespWire implements Wire {

    private boolean newer;

    @Override
    public List<ChannelHandler> decoders() {
        return List.of(new RespValues());
    }

    @Override
    public Asked read(Object message, boolean up) {
        Value value = (Value) message;
        List<String> words = value.parts().stream().map(Value::text).toList();
        String name = words.isEmpty() ? "" : words.get(0).toUpperCase(Locale.ROOT);
        switch (name) {
            case "HELLO":
                newer = words.size() > 1 && words.get(1).equals("3");
                return handled(newer ? "%1\r\n$5\r\nproto\r\n:3\r\n" : "*2\r\n$5\r\nproto\r\n:2\r\n");
            case "AUTH":
                return handled("+OK\r\n");
            case "PING":
                return handled(up ? "+PONG\r\n" : "-DRAINING no new work\r\n");
            case "RIDGE.WITH":
                return call(words);
            default:
                return new Asked("", words.size() > 1 ? words.get(1) : "", false, null, 0, null, true);
        }
    }

    private static Asked handled(String reply) {
        return new Asked("", "", false, null, 0, reply, false);
    }

    private static Asked call(List<String> words) {
        String id = "";
        String idempotencyKey = null;
        double budget = 0;
        int at = 1;
        for (; at + 1 < words.size() && !words.get(at).equals("DO"); at += 2) {
            String said = words.get(at + 1);
            switch (words.get(at)) {
                case "id" -> id = said;
                case "idempotency-key" -> idempotencyKey = said;
                case "budget" -> budget = Double.parseDouble(said.replace("ms", ""));
                default -> id = "";
            }
        }
        boolean whole = at + 2 < words.size();
        String action = whole ? words.get(at + 1) : "";
        return new Asked(
                id,
                whole ? words.get(at + 2) : "",
                action.equals("SET") || action.equals("DEL"),
                idempotencyKey,
                budget,
                null,
                !whole);
    }

    private String named(Asked to, String hit, String reply) {
        return newer && to != null && !to.id().isEmpty()
                ? (hit == null ? "|1" : "|2") + "\r\n+id\r\n+" + to.id() + "\r\n"
                        + (hit == null ? "" : "+hit\r\n+" + hit + "\r\n") + reply
                : reply;
    }

    private static String hit(String... headers) {
        for (String h : headers) {
            if (h.startsWith("X-Hit: ")) {
                return h.substring(7);
            }
        }
        return null;
    }

    @Override
    public String answer(Asked to, int status, String body, String... headers) {
        String reply = switch (status) {
            case 200 -> "$" + body.length() + "\r\n" + body + "\r\n";
            case 404 -> to.write() ? "-READONLY writes belong to the store\r\n" : newer ? "_\r\n" : "$-1\r\n";
            case 503 -> "-DRAINING or full: nothing ran\r\n";
            default -> "-ERR it failed, with status " + status + "\r\n";
        };
        return named(to, hit(headers), reply);
    }

    @Override
    public String shortAnswer(Asked to, int status, String body, String... headers) {
        return named(to, hit(headers), "$" + Math.max(0, body.length() - 1) + "\r\n" + body + "more\r\n");
    }

    @Override
    public String endless() {
        return "+" + "x".repeat(500);
    }

    @Override
    public String drains() {
        return newer ? ">1\r\n+ridge.drain\r\n" : null;
    }

    @Override
    public String cancels(Object message) {
        List<Value> words = ((Value) message).parts();
        return words.size() == 2 && words.get(0).text().equalsIgnoreCase("RIDGE.CANCEL")
                ? words.get(1).text()
                : null;
    }

    @Override
    public String cancelled(Asked to) {
        return named(to, null, "-CANCELLED nobody waits for it\r\n");
    }

    @Override
    public boolean sharesConnections() {
        return true;
    }
}

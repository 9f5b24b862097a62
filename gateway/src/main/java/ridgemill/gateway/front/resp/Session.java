package ridgemill.gateway.front.resp;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import ridgemill.gateway.net.resp.Resp;
import ridgemill.gateway.net.resp.RespWriter;

/**
 * What a connection has said of itself, and the commands that are answered without asking any node: the handshake, names,
 * and what stock clients ask for before they trust a server.
 */
final class Session {

    private static final String REDIS_VERSION = "7.4.0";
    private static final int FIRST_KEY_FIELD = 2;
    /** Name, arity (negative for at least), first key, last key, step; as Redis describes its own. */
    private static final List<List<Object>> COMMANDS = List.of(List.of("get", 2, 1, 1, 1), List.of("set", -3, 1, 1, 1),
            List.of("mget", -2, 1, -1, 1), List.of("mset", -3, 1, -1, 2), List.of("exists", -2, 1, -1, 1),
            List.of("del", -2, 1, -1, 1), List.of("unlink", -2, 1, -1, 1), List.of("ping", -1, 0, 0, 0),
            List.of("echo", 2, 0, 0, 0), List.of("select", 2, 0, 0, 0), List.of("hello", -1, 0, 0, 0),
            List.of("auth", -2, 0, 0, 0), List.of("client", -2, 0, 0, 0), List.of("command", -1, 0, 0, 0),
            List.of("quit", -1, 0, 0, 0), List.of("reset", 1, 0, 0, 0), List.of("ridge.with", -3, 0, 0, 0),
            List.of("ridge.outcome", 2, 0, 0, 0));

    /** A reply, and whether it is the connection's last. */
    record CommandReply(Resp reply, boolean last) {

        static CommandReply of(Resp reply) {
            return new CommandReply(reply, false);
        }
    }

    private final RespFrontend frontend;
    private final long connectionId;
    private int protocolVersion = RespWriter.V2;
    private String tenant;
    private boolean authenticated;
    private String name = "";
    private CallOptions options = CallOptions.NONE;

    Session(RespFrontend front, long number) {
        this.frontend = front;
        this.connectionId = number;
    }

    int protocolVersion() {
        return protocolVersion;
    }

    /** Whose calls these are; null where nobody was named. */
    String tenant() {
        return tenant;
    }

    CallOptions options() {
        return options;
    }

    /** Whether it has shown who it is, where that is asked for. */
    boolean isAuthorized() {
        return authenticated || frontend.passwords().isEmpty();
    }

    /** Carries out a command that names no key. */
    CommandReply execute(String command, List<Resp> words) {
        List<String> rest = words.subList(1, words.size()).stream().map(w -> ((Resp.Blob) w).text()).toList();
        return switch (command) {
            case "HELLO" -> CommandReply.of(hello(rest));
            case "AUTH" -> CommandReply.of(rest.isEmpty() || rest.size() > 2 ? RespErrors.wrongArity(command)
                    : authenticate(rest.size() == 2 ? rest.get(0) : "default", rest.get(rest.size() - 1)));
            case "QUIT" -> new CommandReply(Resp.OK, true);
            case "RESET" -> {
                protocolVersion = RespWriter.V2;
                tenant = null;
                authenticated = false;
                name = "";
                options = CallOptions.NONE;
                yield CommandReply.of(new Resp.Simple("RESET"));
            }
            case "PING", "ECHO", "SELECT", "CLIENT", "COMMAND", "INFO" -> CommandReply.of(isAuthorized() ? executeAuthorized(command, rest)
                    : RespErrors.NOAUTH);
            default -> CommandReply.of(isAuthorized() ? RespErrors.error("unknown command '" + truncate(((Resp.Blob) words.get(0)).text())
                    + "', with args beginning with: " + (rest.isEmpty() ? "" : "'" + truncate(rest.get(0)) + "' "))
                    : RespErrors.NOAUTH);
        };
    }

    private static String truncate(String text) {
        return text.length() <= 64 ? text : text.substring(0, 64);
    }

    private Resp executeAuthorized(String command, List<String> rest) {
        return switch (command) {
            case "PING" -> rest.isEmpty() ? new Resp.Simple("PONG") : rest.size() == 1 ? Resp.blob(rest.get(0))
                    : RespErrors.wrongArity(command);
            case "ECHO" -> rest.size() == 1 ? Resp.blob(rest.get(0)) : RespErrors.wrongArity(command);
            case "SELECT" -> rest.size() != 1 ? RespErrors.wrongArity(command) : rest.get(0).equals("0") ? Resp.OK
                    : RespErrors.error("DB index is out of range");
            case "INFO" -> Resp.blob("# Server\r\nredis_version:" + REDIS_VERSION + "\r\nredis_mode:standalone\r\n"
                    + "server_name:ridgemill\r\n# Replication\r\nrole:master\r\n");
            case "CLIENT" -> executeClient(rest);
            default -> executeCommand(rest);
        };
    }

    private Resp hello(List<String> rest) {
        int wanted = protocolVersion;
        int at = 0;
        if (!rest.isEmpty()) {
            if (!rest.get(0).matches("[0-9]{1,9}")) {
                return RespErrors.error("Protocol version is not an integer or out of range");
            }
            wanted = Integer.parseInt(rest.get(0));
            at = 1;
            if (wanted != RespWriter.V2 && wanted != RespWriter.V3) {
                return new Resp.Err("NOPROTO unsupported protocol version");
            }
        }
        String named = null;
        String user = null;
        String password = null;
        while (at < rest.size()) {
            String option = rest.get(at).toUpperCase(Locale.ROOT);
            if (option.equals("AUTH") && at + 2 < rest.size()) {
                user = rest.get(at + 1);
                password = rest.get(at + 2);
                at += 3;
            } else if (option.equals("SETNAME") && at + 1 < rest.size()) {
                named = rest.get(at + 1);
                at += 2;
            } else {
                return RespErrors.error("Syntax error in HELLO option '" + truncate(rest.get(at)) + "'");
            }
        }
        if (user != null) {
            Resp result = authenticate(user, password);
            if (result instanceof Resp.Err) {
                return result;
            }
        }
        if (!isAuthorized()) {
            return new Resp.Err("NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO "
                    + "<proto> AUTH <user> <pass> option can be used to authenticate the client and select the RESP "
                    + "protocol version at the same time");
        }
        if (named != null) {
            setName(named);
        }
        protocolVersion = wanted;
        List<Resp> pairs = new ArrayList<>();
        add(pairs, "server", Resp.blob("redis"));
        add(pairs, "version", Resp.blob(REDIS_VERSION));
        add(pairs, "proto", new Resp.Num(protocolVersion));
        add(pairs, "id", new Resp.Num(connectionId));
        add(pairs, "mode", Resp.blob("standalone"));
        add(pairs, "role", Resp.blob("master"));
        add(pairs, "modules", new Resp.Array(List.of()));
        return new Resp.MapOf(pairs);
    }

    private static void add(List<Resp> pairs, String key, Resp value) {
        pairs.add(Resp.blob(key));
        pairs.add(value);
    }

    /** The user is the tenant. Where no passwords are set any is taken, as the platform's own front takes any name. */
    private Resp authenticate(String user, String password) {
        Map<String, String> passwords = frontend.passwords();
        String right = passwords.get(user);
        if (!passwords.isEmpty() && (right == null || !MessageDigest.isEqual(right.getBytes(StandardCharsets.UTF_8),
                password.getBytes(StandardCharsets.UTF_8)))) {
            return new Resp.Err("WRONGPASS invalid username-password pair or user is disabled.");
        }
        if (!user.chars().allMatch(c -> c > ' ' && c <= '~')) {
            return RespErrors.error("a user is printable characters without blanks");
        }
        authenticated = true;
        tenant = user;
        return Resp.OK;
    }

    private void setName(String wanted) {
        if (!wanted.chars().allMatch(c -> c > ' ' && c <= '~')) {
            throw new IllegalArgumentException("Client names cannot contain spaces, newlines or special characters.");
        }
        options = CallOptions.fromConnectionName(wanted);
        name = wanted;
    }

    private Resp executeClient(List<String> rest) {
        String sub = rest.isEmpty() ? "" : rest.get(0).toUpperCase(Locale.ROOT);
        int arguments = rest.size() - 1;
        return switch (sub) {
            case "SETNAME" -> {
                if (arguments != 1) {
                    yield RespErrors.wrongArity("client|setname");
                }
                setName(rest.get(1));
                yield Resp.OK;
            }
            case "GETNAME" -> name.isEmpty() ? Resp.NULL : Resp.blob(name);
            case "ID" -> new Resp.Num(connectionId);
            case "SETINFO" -> arguments == 2 ? Resp.OK : RespErrors.wrongArity("client|setinfo");
            case "NO-EVICT", "NO-TOUCH" -> arguments == 1 ? Resp.OK : RespErrors.wrongArity("client|" + sub);
            case "INFO" -> Resp.blob("id=" + connectionId + " name=" + name + " resp=" + protocolVersion + " user="
                    + (tenant == null ? "default" : tenant));
            default -> RespErrors.error("unknown subcommand '" + truncate(sub) + "'. Try CLIENT SETNAME, GETNAME, ID, SETINFO, INFO, "
                    + "NO-EVICT, NO-TOUCH.");
        };
    }

    private static Resp executeCommand(List<String> rest) {
        String sub = rest.isEmpty() ? "" : rest.get(0).toUpperCase(Locale.ROOT);
        return switch (sub) {
            case "" -> new Resp.Array(COMMANDS.stream().map(Session::describe).toList());
            case "COUNT" -> new Resp.Num(COMMANDS.size());
            case "DOCS" -> new Resp.MapOf(List.of());
            case "LIST" -> new Resp.Array(COMMANDS.stream().map(c -> (Resp) Resp.blob((String) c.get(0))).toList());
            case "INFO" -> new Resp.Array(rest.subList(1, rest.size()).stream().map(n -> COMMANDS.stream()
                    .filter(c -> c.get(0).equals(n.toLowerCase(Locale.ROOT))).findFirst().map(Session::describe)
                    .orElse(Resp.NULL)).toList());
            default -> RespErrors.error("unknown subcommand '" + truncate(sub) + "'. Try COMMAND COUNT, DOCS, INFO, LIST.");
        };
    }

    private static Resp describe(List<Object> c) {
        List<Resp> flags = new ArrayList<>();
        boolean data = (int) c.get(2) > 0;
        if (data) {
            flags.add(new Resp.Simple(List.of("set", "mset", "del", "unlink").contains(c.get(0)) ? "write" : "readonly"));
        }
        flags.add(new Resp.Simple("fast"));
        List<Resp> all = new ArrayList<>();
        all.add(Resp.blob((String) c.get(0)));
        all.add(new Resp.Num((int) c.get(1)));
        all.add(new Resp.SetOf(flags));
        for (int i = FIRST_KEY_FIELD; i < c.size(); i++) {
            all.add(new Resp.Num((int) c.get(i)));
        }
        all.add(new Resp.SetOf(List.of()));
        all.add(new Resp.SetOf(List.of()));
        all.add(new Resp.Array(List.of()));
        all.add(new Resp.Array(List.of()));
        return new Resp.Array(all);
    }
}

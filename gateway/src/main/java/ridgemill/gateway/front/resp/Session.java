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
 * The state of a RESP connection: protocol version, tenant, name and options. Executes the commands that need no node:
 * the handshake, connection names, and the server queries that standard clients send when they connect.
 */
final class Session {

    /** The Redis version that is reported to clients. */
    private static final String REDIS_VERSION = "7.4.0";
    /** Index of the first key position in an entry of {@link #COMMANDS}; the fields from there on are numbers. */
    private static final int FIRST_KEY_FIELD = 2;
    /** Name, arity (negative for a minimum), first key, last key, step, in the format of Redis's COMMAND reply. */
    private static final List<List<Object>> COMMANDS = List.of(List.of("get", 2, 1, 1, 1), List.of("set", -3, 1, 1, 1),
            List.of("mget", -2, 1, -1, 1), List.of("mset", -3, 1, -1, 2), List.of("exists", -2, 1, -1, 1),
            List.of("del", -2, 1, -1, 1), List.of("unlink", -2, 1, -1, 1), List.of("ping", -1, 0, 0, 0),
            List.of("echo", 2, 0, 0, 0), List.of("select", 2, 0, 0, 0), List.of("hello", -1, 0, 0, 0),
            List.of("auth", -2, 0, 0, 0), List.of("client", -2, 0, 0, 0), List.of("command", -1, 0, 0, 0),
            List.of("quit", -1, 0, 0, 0), List.of("reset", 1, 0, 0, 0), List.of("ridge.with", -3, 0, 0, 0),
            List.of("ridge.outcome", 2, 0, 0, 0));

    /** A reply, and whether the connection closes after it. */
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

    Session(RespFrontend frontend, long connectionId) {
        this.frontend = frontend;
        this.connectionId = connectionId;
    }

    int protocolVersion() {
        return protocolVersion;
    }

    /** Returns the tenant of the connection's calls; null if the client has named none. */
    String tenant() {
        return tenant;
    }

    /** Returns the options that the connection's name sets. */
    CallOptions options() {
        return options;
    }

    /** Returns whether the client has authenticated, or no passwords are set. */
    boolean isAuthorized() {
        return authenticated || frontend.passwords().isEmpty();
    }

    /** Executes a command without keys. */
    CommandReply execute(String command, List<Resp> words) {
        List<String> arguments = words.subList(1, words.size()).stream().map(w -> ((Resp.Blob) w).text()).toList();
        return switch (command) {
            case "HELLO" -> CommandReply.of(hello(arguments));
            case "AUTH" -> CommandReply.of(arguments.isEmpty() || arguments.size() > 2 ? RespErrors.wrongArity(command)
                    : authenticate(arguments.size() == 2 ? arguments.get(0) : "default",
                    arguments.get(arguments.size() - 1)));
            case "QUIT" -> new CommandReply(Resp.OK, true);
            case "RESET" -> {
                protocolVersion = RespWriter.V2;
                tenant = null;
                authenticated = false;
                name = "";
                options = CallOptions.NONE;
                yield CommandReply.of(new Resp.Simple("RESET"));
            }
            case "PING", "ECHO", "SELECT", "CLIENT", "COMMAND", "INFO" -> CommandReply.of(isAuthorized()
                    ? executeAuthorized(command, arguments) : RespErrors.NOAUTH);
            default -> CommandReply.of(isAuthorized() ? RespErrors.error("unknown command '"
                    + truncate(((Resp.Blob) words.get(0)).text()) + "', with args beginning with: "
                    + (arguments.isEmpty() ? "" : "'" + truncate(arguments.get(0)) + "' "))
                    : RespErrors.NOAUTH);
        };
    }

    private static String truncate(String text) {
        return text.length() <= 64 ? text : text.substring(0, 64);
    }

    private Resp executeAuthorized(String command, List<String> arguments) {
        return switch (command) {
            case "PING" -> arguments.isEmpty() ? new Resp.Simple("PONG")
                    : arguments.size() == 1 ? Resp.blob(arguments.get(0))
                    : RespErrors.wrongArity(command);
            case "ECHO" -> arguments.size() == 1 ? Resp.blob(arguments.get(0)) : RespErrors.wrongArity(command);
            case "SELECT" -> arguments.size() != 1 ? RespErrors.wrongArity(command)
                    : arguments.get(0).equals("0") ? Resp.OK
                    : RespErrors.error("DB index is out of range");
            case "INFO" -> Resp.blob("# Server\r\nredis_version:" + REDIS_VERSION + "\r\nredis_mode:standalone\r\n"
                    + "server_name:ridgemill\r\n# Replication\r\nrole:master\r\n");
            case "CLIENT" -> executeClient(arguments);
            default -> executeCommand(arguments);
        };
    }

    private Resp hello(List<String> arguments) {
        int requested = protocolVersion;
        int at = 0;
        if (!arguments.isEmpty()) {
            if (!arguments.get(0).matches("[0-9]{1,9}")) {
                return RespErrors.error("Protocol version is not an integer or out of range");
            }
            requested = Integer.parseInt(arguments.get(0));
            at = 1;
            if (requested != RespWriter.V2 && requested != RespWriter.V3) {
                return new Resp.Err("NOPROTO unsupported protocol version");
            }
        }
        String requestedName = null;
        String user = null;
        String password = null;
        while (at < arguments.size()) {
            String option = arguments.get(at).toUpperCase(Locale.ROOT);
            if (option.equals("AUTH") && at + 2 < arguments.size()) {
                user = arguments.get(at + 1);
                password = arguments.get(at + 2);
                at += 3;
            } else if (option.equals("SETNAME") && at + 1 < arguments.size()) {
                requestedName = arguments.get(at + 1);
                at += 2;
            } else {
                return RespErrors.error("Syntax error in HELLO option '" + truncate(arguments.get(at)) + "'");
            }
        }
        if (user != null) {
            Resp result = authenticate(user, password);
            if (result instanceof Resp.Err) {
                return result;
            }
        }
        if (!isAuthorized()) {
            return new Resp.Err(
                    "NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO "
                    + "<proto> AUTH <user> <pass> option can be used to authenticate the client and select the RESP "
                    + "protocol version at the same time");
        }
        if (requestedName != null) {
            setName(requestedName);
        }
        protocolVersion = requested;
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

    /**
     * Authenticates the tenant as the user. If no passwords are set, any is accepted, as the HTTP frontend accepts any
     * name.
     */
    private Resp authenticate(String user, String password) {
        Map<String, String> passwords = frontend.passwords();
        String expected = passwords.get(user);
        if (!passwords.isEmpty() && (expected == null
                || !MessageDigest.isEqual(expected.getBytes(StandardCharsets.UTF_8),
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

    private void setName(String newName) {
        if (!newName.chars().allMatch(c -> c > ' ' && c <= '~')) {
            throw new IllegalArgumentException("Client names cannot contain spaces, newlines or special characters.");
        }
        options = CallOptions.fromConnectionName(newName);
        name = newName;
    }

    private Resp executeClient(List<String> arguments) {
        String subcommand = arguments.isEmpty() ? "" : arguments.get(0).toUpperCase(Locale.ROOT);
        int argumentCount = arguments.size() - 1;
        return switch (subcommand) {
            case "SETNAME" -> {
                if (argumentCount != 1) {
                    yield RespErrors.wrongArity("client|setname");
                }
                setName(arguments.get(1));
                yield Resp.OK;
            }
            case "GETNAME" -> name.isEmpty() ? Resp.NULL : Resp.blob(name);
            case "ID" -> new Resp.Num(connectionId);
            case "SETINFO" -> argumentCount == 2 ? Resp.OK : RespErrors.wrongArity("client|setinfo");
            case "NO-EVICT", "NO-TOUCH" -> argumentCount == 1 ? Resp.OK : RespErrors.wrongArity("client|" + subcommand);
            case "INFO" -> Resp.blob("id=" + connectionId + " name=" + name + " resp=" + protocolVersion + " user="
                    + (tenant == null ? "default" : tenant));
            default -> RespErrors.error("unknown subcommand '" + truncate(subcommand)
                    + "'. Try CLIENT SETNAME, GETNAME, ID, SETINFO, INFO, " + "NO-EVICT, NO-TOUCH.");
        };
    }

    private static Resp executeCommand(List<String> arguments) {
        String subcommand = arguments.isEmpty() ? "" : arguments.get(0).toUpperCase(Locale.ROOT);
        return switch (subcommand) {
            case "" -> new Resp.Array(COMMANDS.stream().map(Session::describe).toList());
            case "COUNT" -> new Resp.Num(COMMANDS.size());
            case "DOCS" -> new Resp.MapOf(List.of());
            case "LIST" -> new Resp.Array(COMMANDS.stream().map(c -> (Resp) Resp.blob((String) c.get(0))).toList());
            case "INFO" -> new Resp.Array(arguments.subList(1, arguments.size()).stream().map(n -> COMMANDS.stream()
                    .filter(c -> c.get(0).equals(n.toLowerCase(Locale.ROOT))).findFirst().map(Session::describe)
                    .orElse(Resp.NULL)).toList());
            default -> RespErrors.error("unknown subcommand '" + truncate(subcommand)
                    + "'. Try COMMAND COUNT, DOCS, INFO, LIST.");
        };
    }

    private static Resp describe(List<Object> command) {
        List<Resp> flags = new ArrayList<>();
        boolean takesKeys = (int) command.get(2) > 0;
        if (takesKeys) {
            flags.add(new Resp.Simple(List.of("set", "mset", "del", "unlink").contains(command.get(0)) ? "write"
                    : "readonly"));
        }
        flags.add(new Resp.Simple("fast"));
        List<Resp> description = new ArrayList<>();
        description.add(Resp.blob((String) command.get(0)));
        description.add(new Resp.Num((int) command.get(1)));
        description.add(new Resp.SetOf(flags));
        for (int i = FIRST_KEY_FIELD; i < command.size(); i++) {
            description.add(new Resp.Num((int) command.get(i)));
        }
        description.add(new Resp.SetOf(List.of()));
        description.add(new Resp.SetOf(List.of()));
        description.add(new Resp.Array(List.of()));
        description.add(new Resp.Array(List.of()));
        return new Resp.Array(description);
    }
}

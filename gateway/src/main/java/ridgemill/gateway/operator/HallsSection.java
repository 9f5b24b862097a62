package ridgemill.gateway.operator;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import ridgemill.serviceclass.ServiceClassPolicy;
import ridgemill.serviceclass.PlatformConstraints;
import ridgemill.gateway.datacenter.DatacenterSecurity;
import ridgemill.gateway.datacenter.DatacenterSettings;
import ridgemill.gateway.net.Addresses;
import ridgemill.datacenter.DatacenterPolicy;

/** {@code [halls]}: other halls, and what may cross to them and from them. */
final class HallsSection {

    private static final List<String> SECURITIES = List.of("tls", "key", "none");
    private static final int LEAST_KEY_BYTES = 32;
    private static final double USUAL_PER_S = 100;
    private static final int USUAL_IN_FLIGHT = 200;
    private static final int USUAL_TAKE = 200;
    private static final int USUAL_HOPS = 2;
    private static final double USUAL_QUIET_MS = 30_000;
    private static final int MOST_IN_FLIGHT = 50_000;
    private static final int MOST_HOPS = 8;

    private HallsSection() { }

    static DatacenterSettings read(Section root, Map<String, ServiceClassPolicy> classes, PlatformConstraints platform) {
        return root.table("halls").map(s -> settings(s, classes, platform)).orElse(null);
    }

    private static DatacenterSettings settings(Section s, Map<String, ServiceClassPolicy> classes, PlatformConstraints platform) {
        String name = s.text("name").orElse("");
        if (!DatacenterPolicy.isValidName(name)) {
            s.problem(s.has("name") ? "name" : null, s.has("name") ? "bad-name" : "missing", s.has("name") ? "\"" + name
                    + "\" is no name of a hall" : "has no name", "set name = \"teku-hall\": letters, digits and . _ -");
        }
        Optional<InetSocketAddress> listen = s.address("listen");
        DatacenterSecurity security = security(s);
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        Set<String> sharing = new HashSet<>();
        Map<String, List<String>> gateways = peers(s, name, addresses, sharing);
        Set<String> crossing = new HashSet<>(s.texts("classes"));
        for (String c : crossing) {
            if (!classes.containsKey(c) && !platform.classes().containsKey(c) && !(classes.isEmpty() && platform.classes().isEmpty())) {
                s.problem("classes", "unknown-class", "there is no class \"" + c + "\"", "did you mean \""
                        + Nearest.of(c, union(classes.keySet(), platform.classes().keySet())) + "\"?");
            }
        }
        double perS = s.rate("budget").orElse(USUAL_PER_S);
        int inFlight = s.count("in-flight", 1, MOST_IN_FLIGHT).orElse(USUAL_IN_FLIGHT);
        int take = s.count("take", 0, MOST_IN_FLIGHT).orElse(USUAL_TAKE);
        int hops = s.count("hop-limit", 1, MOST_HOPS).orElse(USUAL_HOPS);
        double quiet = s.duration("quiet").orElse(USUAL_QUIET_MS);
        s.done();
        if (!DatacenterPolicy.isValidName(name) || gateways.containsKey(name) || security == null) {
            return null;
        }
        return new DatacenterSettings(listen.orElse(null), security, addresses, new DatacenterPolicy(name, gateways, crossing, sharing, perS,
                inFlight, listen.isPresent() ? take : 0, hops, quiet));
    }

    private static Set<String> union(Set<String> a, Set<String> b) {
        Set<String> all = new HashSet<>(a);
        all.addAll(b);
        return all;
    }

    private static Map<String, List<String>> peers(Section s, String own, Map<String, InetSocketAddress> addresses, Set<String> sharing) {
        Map<String, List<String>> gateways = new LinkedHashMap<>();
        Optional<Section> peers = s.table("peers");
        if (!s.has("peers") || peers.isPresent() && peers.get().keys().isEmpty()) {
            s.problem(null, "missing", "names no other hall", "add [halls.peers.NAME] with gateways = [\"127.0.0.1:9301\"]");
        }
        peers.ifPresent(p -> p.tables().forEach(hall -> {
            String name = hall.ownName();
            if (name.equals(own) || !DatacenterPolicy.isValidName(name)) {
                hall.problem(null, "bad-name", name.equals(own) ? "is this hall itself" : "is no name of a hall",
                        "name the other halls here");
            }
            List<String> of = new ArrayList<>();
            List<String> texts = hall.texts("gateways");
            for (String text : texts) {
                try {
                    InetSocketAddress address = Addresses.parse(text);
                    if (addresses.put(Addresses.text(address), address) == null) {
                        of.add(Addresses.text(address));
                    } else {
                        hall.problem("gateways", "duplicate", text + " is named twice", "name each gateway once");
                    }
                } catch (IllegalArgumentException e) {
                    hall.problem("gateways", "bad-address", e.getMessage(), "write it as \"127.0.0.1:9301\"; no name is looked up");
                }
            }
            if (texts.isEmpty()) {
                hall.problem(null, "missing", "has no gateways", "set gateways = [\"127.0.0.1:9301\"]");
            }
            if (hall.flag("shared-repeats").orElse(false)) {
                sharing.add(name);
            }
            hall.done();
            gateways.put(name, of);
        }));
        return gateways;
    }

    private static DatacenterSecurity security(Section s) {
        Map<String, Optional<Path>> files = new HashMap<>();
        for (String key : List.of("certificate", "private-key", "trust")) {
            files.put(key, file(s, key));
        }
        Optional<String> shared = s.text("key");
        Optional<String> kind = s.word("security", SECURITIES);
        if (!s.has("security")) {
            s.problem(null, "missing", "does not say how halls know each other", "set security = \"tls\" or \"key\"; \"none\" takes "
                    + "anyone's word");
        }
        if (kind.isEmpty()) {
            return null;
        }
        if (kind.get().equals("tls")) {
            for (String key : List.of("certificate", "private-key", "trust")) {
                if (!s.has(key)) {
                    s.problem(null, "missing", "has no " + key, "set " + key + " = \"/etc/ridgemill/hall.pem\"");
                }
            }
            return files.values().stream().anyMatch(Optional::isEmpty) ? null : new DatacenterSecurity.Tls(files.get("certificate").get(),
                    files.get("private-key").get(), files.get("trust").get());
        }
        for (String key : List.of("certificate", "private-key", "trust")) {
            if (s.has(key)) {
                s.problem(key, "not-used", "has no use without TLS", "set security = \"tls\", or leave it out");
            }
        }
        if (kind.get().equals("none")) {
            return new DatacenterSecurity.Unauthenticated();
        }
        byte[] bytes = shared.orElse("").getBytes(StandardCharsets.UTF_8);
        if (bytes.length < LEAST_KEY_BYTES) {
            s.problem(s.has("key") ? "key" : null, s.has("key") ? "weak-key" : "missing", s.has("key") ? "has " + bytes.length
                    + " bytes" : "has no key", "give " + LEAST_KEY_BYTES + " bytes or more, of chance alone");
            return null;
        }
        return new DatacenterSecurity.SharedKey(bytes);
    }

    private static Optional<Path> file(Section s, String key) {
        return s.text(key).flatMap(text -> {
            try {
                Path path = Path.of(text);
                if (Files.isReadable(path)) {
                    return Optional.of(path);
                }
            } catch (InvalidPathException e) {
                // Told of as any other that can't be read.
            }
            s.problem(key, "unreadable", "can't read " + text, "name a file in PEM that this user may read");
            return Optional.empty();
        });
    }
}

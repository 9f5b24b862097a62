package ridgemill.gateway.operator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.operator.OperatorConfig.Listener;

/** {@code [[listener]]}: where clients connect, beside the platform's own address. */
final class ListenersSection {

    private static final List<String> PROTOCOLS = List.of("http", "resp");

    private ListenersSection() { }

    static List<Listener> read(Section root) {
        List<Listener> listeners = new ArrayList<>();
        Set<InetSocketAddress> addresses = new HashSet<>();
        for (Section s : root.list("listener")) {
            String name = s.text("name").orElse("");
            String protocol = s.word("protocol", PROTOCOLS).orElse(PROTOCOLS.get(0));
            if (!s.has("address")) {
                s.problem(null, "missing", "has no address", "set address = \"127.0.0.1:9000\"");
            }
            s.address("address").ifPresent(address -> {
                if (!addresses.add(address)) {
                    s.problem("address", "duplicate", "another listener has " + Addresses.text(address) + " too", "give each its own");
                }
                listeners.add(new Listener(name, address, protocol));
            });
            s.done();
        }
        return listeners;
    }
}

package ridgemill.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ridgemill.core.PlatformAdmissionController;
import ridgemill.gateway.Config;
import ridgemill.gateway.Service;
import ridgemill.policy.BalancingRouter;
import ridgemill.testbed.Reservation;
import ridgemill.testbed.Testbed;
import ridgemill.testbed.load.LoadProfile;
import ridgemill.testbed.node.NodeProfile;

/** What has to be there before the first request, such as the record of versions, is there before anybody can connect. */
class BeforeClientsTest {

    @Test
    void nobodyCanConnectBeforeWhatComesBeforeClients() throws Exception {
        try (Testbed bed = new Testbed(1, NodeProfile.CACHE, NodeProfile.STORE, false, 6000, 3); Reservation port = new Reservation()) {
            Config config = Config.parse(ProxyConfig.of("p0", 0, 1, port.address(), bed.place("p0"), LoadProfile.USUAL, NodeProfile.CACHE, null,
                    List.of(), 5).toString(), Map.of());
            List<Service> before = new ArrayList<>();
            Service service = Service.start(config, new BalancingRouter(config.settings(), 5), new PlatformAdmissionController(config.settings()), s -> {
                before.add(s);
                assertThrows(ConnectException.class, () -> connect(port));
            });
            assertEquals(List.of(service), before);
            connect(port);
            service.kill();
        }
    }

    private static void connect(Reservation port) throws IOException {
        new Socket(port.address().getAddress(), port.address().getPort()).close();
    }
}

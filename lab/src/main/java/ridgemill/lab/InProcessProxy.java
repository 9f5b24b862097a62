package ridgemill.lab;

import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.Map;
import ridgemill.gateway.Config;
import ridgemill.gateway.Service;
import ridgemill.policy.BalancingRouter;

/** A proxy inside this process: starts in no time, and can't be killed without a word. */
final class InProcessProxy implements ProxyUnderTest {

    private final String name;
    private final JsonObject config;
    private Service service;
    private InetSocketAddress address;

    InProcessProxy(String name, JsonObject config) {
        this.name = name;
        this.config = config;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public void start() throws Exception {
        Config read = Config.parse(config.toString(), Map.of());
        service = Service.start(read, new BalancingRouter(read.settings(), read.seed()));
        address = service.listenAddress();
    }

    @Override
    public void terminate() {
        service.drain();
    }

    @Override
    public void kill() {
        service.kill();
    }

    @Override
    public void hangup() {
        service.reload(Map.of());
    }

    Service service() {
        return service;
    }
}

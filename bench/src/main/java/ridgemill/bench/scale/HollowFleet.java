package ridgemill.bench.scale;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import ridgemill.gateway.net.SocketKind;

/** All hollow edge proxies. */
final class HollowFleet implements AutoCloseable {

    private static final int LOOPS = 2;
    private static final long PATIENCE_MS = 30_000;
    private static final long POLL_MS = 20;
    /** So many proxies join at once, as a start of the whole system is not what is measured. */
    private static final int JOIN_AT_ONCE = 25;

    private final MultiThreadIoEventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(LOOPS, SocketKind.chosen().handlers());
    private final Meter meter;
    private final Deployment deployment;
    private final List<HollowProxy> proxies = new ArrayList<>();

    HollowFleet(Deployment deployment, Meter meter) {
        this.deployment = deployment;
        this.meter = meter;
    }

    /** Adds proxies until there are so many, and waits until each has heard all registries and stores. */
    void growTo(int count) throws InterruptedException {
        while (proxies.size() < count) {
            long before = meter.subscriptions();
            int joining = Math.min(JOIN_AT_ONCE, count - proxies.size());
            for (int i = 0; i < joining; i++) {
                join();
            }
            awaitSubscriptions(before + (long) joining * linksOfEach());
        }
    }

    private void join() {
        HollowProxy proxy = new HollowProxy(proxies.size(), loops.next(), meter);
        for (String host : deployment.registryHosts()) {
            proxy.followRegistry(new InetSocketAddress(host, deployment.registryPort()));
        }
        for (String host : Deployment.SEEDS) {
            proxy.followStore(new InetSocketAddress(host, deployment.storePort()));
        }
        proxies.add(proxy);
    }

    /** Lets all follow a registry that was started later. */
    void followRegistry(String host) throws InterruptedException {
        long before = meter.subscriptions();
        for (HollowProxy proxy : proxies) {
            proxy.followRegistry(new InetSocketAddress(host, deployment.registryPort()));
        }
        awaitSubscriptions(before + proxies.size());
    }

    private void awaitSubscriptions(long wanted) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
        while (meter.subscriptions() < wanted) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException(meter.subscriptions() + " links of " + wanted + " were heard");
            }
            Thread.sleep(POLL_MS);
        }
    }

    private int linksOfEach() {
        return deployment.registryHosts().size() + Deployment.SEEDS.size();
    }

    int size() {
        return proxies.size();
    }

    HollowProxy proxy(long turn) {
        return proxies.get((int) (turn % proxies.size()));
    }

    @Override
    public void close() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}

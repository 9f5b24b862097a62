package ridgemill.gateway.lease;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import ridgemill.gateway.membership.eureka.EurekaClient;
import ridgemill.gateway.net.Log;
import ridgemill.lease.LeaseManager.Permit;
import ridgemill.membership.Instance;
import ridgemill.registry.ElectedRegistryReader;
import ridgemill.registry.RegistryReadPolicy;
import ridgemill.registry.RegistryUpdate;
import ridgemill.registry.RegistryUpdateCodec;

/**
 * Sits between the client of a registry and the listener for its instances, so that one proxy reads the registry for
 * the whole fleet. {@link ElectedRegistryReader} makes the decisions; this class transfers the datagrams and holds the
 * lease under which updates are sent to the other proxies. All methods must be called on the event loop.
 */
public final class SharedRegistryReader implements LeaseService.LeasedTask, EurekaClient.Listener,
        ElectedRegistryReader.Out {

    /** Name of the lease. */
    public static final String LEASE = "registry";
    /** Duration of the permit to send: from reading the clock to the last datagram. */
    private static final double SEND_PERMIT_MS = 50;

    private final LeaseService leases;
    private final EurekaClient.Listener listener;
    private final Runnable pollTrigger;
    private final ElectedRegistryReader reader;

    /**
     * Registers the task.
     *
     * @param apps applications that are read from the registry
     * @param listener receives the instances that were read here or sent by another proxy
     * @param pollTrigger makes the client poll as soon as it can
     */
    public SharedRegistryReader(LeaseService leases, RegistryReadPolicy policy, Collection<String> apps, long seed,
                                EurekaClient.Listener listener, Runnable pollTrigger) {
        this.leases = leases;
        this.listener = listener;
        this.pollTrigger = pollTrigger;
        this.reader = new ElectedRegistryReader(policy, apps, seed, leases.now(), this);
        leases.register(LEASE, this);
    }

    /** Unregisters the task. */
    public void close() {
        leases.unregister(LEASE, this);
    }

    @Override
    public void told(String app, List<Instance> instances) {
        answered(app, 0, instances);
    }

    @Override
    public void answered(String app, double tookMs, List<Instance> instances) {
        double now = leases.now();
        Optional<Permit> permit = leases.permit(LEASE, SEND_PERMIT_MS);
        reader.pollSucceeded(now, now - tookMs, app, instances, permit.map(Permit::term).orElse(0L));
        permit.ifPresent(leases::permitDone);
    }

    @Override
    public void unchanged(String app, double tookMs, Supplier<List<Instance>> instances) {
        answered(app, tookMs, instances.get());
    }

    @Override
    public void failed(String reason) {
        listener.failed(reason);
        if (reader.pollFailed(leases.now(), leases.holds(LEASE))) {
            leases.release(LEASE);
        }
    }

    @Override
    public void asks() {
        reader.pollStarted();
    }

    @Override
    public double restMs() {
        double now = leases.now();
        return reader.pollNotDueUntil(now, leases.holds(LEASE)) - now;
    }

    @Override
    public boolean wantsLease(double now) {
        return reader.wantsLease(now);
    }

    @Override
    public double tick(double now, boolean holds) {
        return reader.tick(now, holds, leases.otherVoters(LEASE));
    }

    @Override
    public void datagramReceived(double now, int member, byte[] datagram) {
        RegistryUpdateCodec.decodeListen(datagram).ifPresent(timestamp -> reader.listenReceived(now, member,
                timestamp));
        RegistryUpdateCodec.decode(datagram).ifPresent(part -> reader.updateReceived(now, member, part));
    }

    @Override
    public void sendListen(int member, int timestamp) {
        leases.sendToMember(member, RegistryUpdateCodec.encodeListen(timestamp));
    }

    @Override
    public void sendUpdate(int member, RegistryUpdate update, int echoTimestamp) {
        RegistryUpdateCodec.encode(update, echoTimestamp).forEach(d -> leases.sendToMember(member, d));
    }

    @Override
    public void instancesChanged(String stream, List<Instance> instances) {
        listener.told(stream, instances);
    }

    @Override
    public void pollNow() {
        pollTrigger.run();
    }

    @Override
    public void log(String message) {
        Log.info("registry: " + message);
    }

    /** Describes the state for operators. */
    public List<String> explain() {
        return reader.explain(leases.now(), leases.holds(LEASE));
    }
}

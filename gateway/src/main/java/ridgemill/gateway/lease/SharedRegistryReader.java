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
 * Stands between a registry's client and whoever goes by what it says, so that one proxy reads for the fleet. What it decides is
 * {@link ElectedRegistryReader}'s; this has the datagrams, and the lease under which others are told. All calls are on the loop.
 */
public final class SharedRegistryReader implements LeaseService.LeasedTask, EurekaClient.Listener, ElectedRegistryReader.Out {

    /** The lease's name. */
    public static final String LEASE = "registry";
    /** What telling may take, from the look at the clock to the last datagram. */
    private static final double SEND_PERMIT_MS = 50;

    private final LeaseService leases;
    private final EurekaClient.Listener listener;
    private final Runnable pollTrigger;
    private final ElectedRegistryReader reader;

    /**
     * @param apps that the registry is asked for
     * @param to goes by what is read or told
     * @param readNow has the client ask as soon as it can
     */
    public SharedRegistryReader(LeaseService leases, RegistryReadPolicy policy, Collection<String> apps, long seed, EurekaClient.Listener to,
                         Runnable readNow) {
        this.leases = leases;
        this.listener = to;
        this.pollTrigger = readNow;
        this.reader = new ElectedRegistryReader(policy, apps, seed, leases.now(), this);
        leases.register(LEASE, this);
    }

    /** Has no more part in it. */
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
    public void failed(String why) {
        listener.failed(why);
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
        RegistryUpdateCodec.decodeListen(datagram).ifPresent(mark -> reader.listenReceived(now, member, mark));
        RegistryUpdateCodec.decode(datagram).ifPresent(news -> reader.updateReceived(now, member, news));
    }

    @Override
    public void sendListen(int member, int mark) {
        leases.sendToMember(member, RegistryUpdateCodec.encodeListen(mark));
    }

    @Override
    public void sendUpdate(int member, RegistryUpdate telling, int mark) {
        RegistryUpdateCodec.encode(telling, mark).forEach(d -> leases.sendToMember(member, d));
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
    public void log(String words) {
        Log.info("registry: " + words);
    }

    /** How it goes, in words. */
    public List<String> explain() {
        return reader.explain(leases.now(), leases.holds(LEASE));
    }
}

package ridgemill.cdn.wire;

import java.io.IOException;
import java.util.List;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.membership.CacheNode;
import ridgemill.cdn.membership.Fleet;
import ridgemill.cdn.membership.FleetPosition;
import ridgemill.cdn.quorum.VoterSet;

/** Messages to and from the registry. */
public final class RegistryMessages {

    private RegistryMessages() {}

    /**
     * A heartbeat of an instance.
     *
     * @param instanceId the instance
     * @param sequence the sequence number of the heartbeat
     */
    public record Heartbeat(String instanceId, long sequence) {

        void write(FieldWriter out) throws IOException {
            out.text(instanceId).number(sequence);
        }

        static Heartbeat read(FieldReader in) throws IOException {
            return new Heartbeat(in.text(), in.number());
        }
    }

    /**
     * Subscribes the sender to instances, core machines and the number of proxies: a snapshot and all later updates.
     *
     * @param incarnationId the last known incarnation of the registry; empty if there was none
     * @param number the last update number that was received from that incarnation
     */
    public record Subscribe(String incarnationId, long number) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.REGISTRY_SUBSCRIBE;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.text(incarnationId).number(number);
        }

        static Subscribe read(FieldReader in) throws IOException {
            return new Subscribe(in.text(), in.number());
        }
    }

    /**
     * Announces the sender as a shared cache. Edge proxies may read from it as long as the connection is open.
     *
     * @param cache the sender
     */
    public record AnnounceCache(CacheNode cache) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.REGISTRY_OFFER_CACHE;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.value(cache, RegistryMessages::writeCache);
        }

        static AnnounceCache read(FieldReader in) throws IOException {
            return new AnnounceCache(readCache(in));
        }
    }

    private static void writeCache(CacheNode cache, FieldWriter out) throws IOException {
        out.text(cache.id()).text(cache.address()).text(cache.zone());
    }

    private static CacheNode readCache(FieldReader in) throws IOException {
        return new CacheNode(in.text(), in.text(), in.text());
    }

    private static void writeFleet(Fleet fleet, FieldWriter out) throws IOException {
        out.number(fleet.proxies().size())
                .number(fleet.proxies().rank())
                .list(fleet.caches(), RegistryMessages::writeCache);
    }

    private static Fleet readFleet(FieldReader in) throws IOException {
        int size = in.intNumber();
        int rank = in.intNumber();
        if (size < 1 || rank < 0 || rank >= size) {
            throw new IOException("invalid position " + rank + " of " + size);
        }
        return new Fleet(new FleetPosition(size, rank), in.list(RegistryMessages::readCache));
    }

    /**
     * The state of the cluster that a registry sends to edge proxies and shared caches.
     *
     * @param complete whether the registry has run for long enough to know all instances
     * @param registries the IP addresses of all known core machines
     * @param voters the voting stores; empty while unknown
     * @param fleet the processes that share the bounds of services, as seen from the subscriber
     * @param instances all known instances, including those that left, or only those that changed
     * @param unresponsive identifiers of all instances without a heartbeat for too long
     */
    public record Overview(
            boolean complete,
            List<String> registries,
            VoterSet voters,
            Fleet fleet,
            List<Instance> instances,
            List<String> unresponsive) {

        void write(FieldWriter out) throws IOException {
            out.flag(complete)
                    .texts(registries)
                    .value(voters, AgreementCodec::writeVoterSet)
                    .value(fleet, RegistryMessages::writeFleet)
                    .list(instances, ValueCodec::writeInstance)
                    .texts(unresponsive);
        }

        static Overview read(FieldReader in) throws IOException {
            return new Overview(
                    in.flag(),
                    in.texts(),
                    AgreementCodec.readVoterSet(in),
                    readFleet(in),
                    in.list(ValueCodec::readInstance),
                    in.texts());
        }
    }

    /**
     * The complete state of a registry. Later updates continue from its number.
     *
     * @param incarnationId the incarnation of the registry
     * @param number the number of the last update that the snapshot contains
     * @param overview the state, with all instances
     */
    public record Snapshot(String incarnationId, long number, Overview overview) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.REGISTRY_SNAPSHOT;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.text(incarnationId).number(number).value(overview, Overview::write);
        }

        static Snapshot read(FieldReader in) throws IOException {
            return new Snapshot(in.text(), in.number(), Overview.read(in));
        }
    }

    /**
     * A numbered update. Numbers are consecutive.
     *
     * @param number the number of this update
     * @param overview the state, with only the instances that changed
     */
    public record Update(long number, Overview overview) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.REGISTRY_NEWS;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(number).value(overview, Overview::write);
        }

        static Update read(FieldReader in) throws IOException {
            return new Update(in.number(), Overview.read(in));
        }
    }

    /**
     * Reports that the subscriber has applied all updates up to a number.
     *
     * @param number the number of the last applied update
     */
    public record UpdateAcknowledged(long number) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.REGISTRY_NEWS_ACKNOWLEDGED;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(number);
        }

        static UpdateAcknowledged read(FieldReader in) throws IOException {
            return new UpdateAcknowledged(in.number());
        }
    }

    /**
     * Sends changed instances and known machines from one registry to another. The reply is {@link PeerUpdateMerged}.
     *
     * @param callId the number of the call
     * @param registries the IP addresses of all known core machines
     * @param voters the voting stores; empty while unknown
     * @param proxies names of the edge proxies that are connected to the sender
     * @param instances the changed instances, or all instances
     */
    public record PeerUpdate(
            long callId, List<String> registries, VoterSet voters, List<String> proxies, List<Instance> instances)
            implements Message.Call {

        @Override
        public MessageKind kind() {
            return MessageKind.PEER_UPDATE;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId)
                    .texts(registries)
                    .value(voters, AgreementCodec::writeVoterSet)
                    .texts(proxies)
                    .list(instances, ValueCodec::writeInstance);
        }

        static PeerUpdate read(FieldReader in) throws IOException {
            return new PeerUpdate(
                    in.number(),
                    in.texts(),
                    AgreementCodec.readVoterSet(in),
                    in.texts(),
                    in.list(ValueCodec::readInstance));
        }
    }

    /**
     * The reply to {@link PeerUpdate}, sent once the update is merged.
     *
     * @param callId the number of the call
     */
    public record PeerUpdateMerged(long callId) implements Message.Reply {

        @Override
        public MessageKind kind() {
            return MessageKind.PEER_UPDATE_TAKEN;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(callId);
        }

        static PeerUpdateMerged read(FieldReader in) throws IOException {
            return new PeerUpdateMerged(in.number());
        }
    }

    /**
     * The newest heartbeats that the sender has received from instances since the previous message of this kind.
     *
     * @param heartbeats the heartbeats
     */
    public record PeerHeartbeats(List<Heartbeat> heartbeats) implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.PEER_BEATS;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.list(heartbeats, Heartbeat::write);
        }

        static PeerHeartbeats read(FieldReader in) throws IOException {
            return new PeerHeartbeats(in.list(Heartbeat::read));
        }
    }
}

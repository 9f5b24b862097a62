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
     * That an instance was heard.
     *
     * @param instanceId the instance
     * @param sequence the number of its heartbeat
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
     * An edge proxy asks for instances, core members and the number of proxies, now and from now on.
     *
     * @param incarnationId the life of the registry that was heard last; empty if none was
     * @param number the last number that was taken in that life
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
     * The sender is a shared cache, which edge proxies may read from while the connection is held.
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
            throw new IOException("no place " + rank + " among " + size);
        }
        return new Fleet(new FleetPosition(size, rank), in.list(RegistryMessages::readCache));
    }

    /**
     * What a registry tells edge proxies and shared caches.
     *
     * @param complete whether the registry has run for long enough to know all instances
     * @param registries the IP addresses of all known core machines
     * @param voters the voting stores; none while unknown
     * @param fleet who shares the bounds of services, as seen from the subscriber
     * @param instances all known instances, those that left included, or those that changed
     * @param unresponsive identifiers of all instances that have not been heard for too long
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
     * All that a registry knows; the numbered changes after it continue from its number.
     *
     * @param incarnationId the life of the registry
     * @param number the number of the last change that the snapshot holds
     * @param overview what it knows, with all instances
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
     * A numbered change; numbers follow one another without a gap.
     *
     * @param number the number of this change
     * @param overview what the registry knows, with the instances that changed
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
     * The subscriber has carried out all changes up to a number.
     *
     * @param number the last number that was carried out
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
     * A registry tells another of instances that changed and of machines that it knows; answered by {@link PeerUpdateMerged}.
     *
     * @param callId the number of the call
     * @param registries the IP addresses of all known core machines
     * @param voters the voting stores; none while unknown
     * @param proxies names of the edge proxies that are connected to the sender
     * @param instances instances that changed, or all of them
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
     * Answers {@link PeerUpdate} once the update is merged.
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
     * The newest heartbeats that a registry has taken itself since it last told.
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

package ridgemill.cdn.proxy;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import ridgemill.cdn.edge.RefusalReason;

/** The meters of the data path. */
final class ProxyMeters {

    /** Where the object of a read came from. */
    enum ReadSource {
        /** A copy held by this process. */
        COPY,
        /** A fetch that another read had started. */
        SHARED_FETCH,
        /** A fetch started by this read. */
        OWN_FETCH
    }

    private final MeterRegistry registry;
    private final Counter uncoveredFetches;
    private final Map<ReadSource, Counter> reads = new EnumMap<>(ReadSource.class);

    ProxyMeters(MeterRegistry registry) {
        this.registry = registry;
        uncoveredFetches = registry.counter("ridgemill.object.fetches.uncovered");
        for (ReadSource source : ReadSource.values()) {
            reads.put(
                    source,
                    registry.counter(
                            "ridgemill.object.reads", "source", source.name().toLowerCase(Locale.ROOT)));
        }
    }

    /** Counts a read of an object by its source. */
    void countRead(ReadSource source) {
        reads.get(source).increment();
    }

    /** Counts a fetched object that serves no other request, because a purge of it may have been missed. */
    void countUncoveredFetch() {
        uncoveredFetches.increment();
    }

    /** Registers a gauge of how long ago it was last known that no acknowledged purge is missing. */
    void registerPurgeGauge(ProxyContext context) {
        Gauge.builder(
                        "ridgemill.purges.unconfirmed.ms",
                        context,
                        c -> c.now() - c.control().purgesConfirmedUntilMs())
                .register(registry);
    }

    /** Creates the meters of one service. */
    ServiceMeters service(String name) {
        return new ServiceMeters(registry, name);
    }

    /** The meters of one service. */
    static final class ServiceMeters {

        private final Map<RefusalReason, Counter> refused = new EnumMap<>(RefusalReason.class);
        private final Map<RefusalReason, Counter> failed = new EnumMap<>(RefusalReason.class);
        private final MeterRegistry registry;
        private final String service;
        private final Counter sent;
        private final Counter opened;
        private final Counter brokenUnused;

        private ServiceMeters(MeterRegistry registry, String service) {
            this.registry = registry;
            this.service = service;
            sent = registry.counter("ridgemill.instance.requests", "service", service);
            opened = registry.counter("ridgemill.instance.connections.opened", "service", service);
            brokenUnused = registry.counter("ridgemill.instance.connections.broken.unused", "service", service);
        }

        /** Counts a request that was refused; it has not run. */
        void countRefused(RefusalReason reason) {
            refused.computeIfAbsent(reason, key -> counter("ridgemill.requests.refused", key))
                    .increment();
        }

        /** Counts a request that this proxy ended with an error; it may have run. */
        void countFailed(RefusalReason reason) {
            failed.computeIfAbsent(reason, key -> counter("ridgemill.requests.failed", key))
                    .increment();
        }

        private Counter counter(String name, RefusalReason reason) {
            return registry.counter(name, "service", service, "reason", reason.label());
        }

        /** Counts a request that was sent to an instance. */
        void countSent() {
            sent.increment();
        }

        /** Counts an established connection to an instance. */
        void countOpened() {
            opened.increment();
        }

        /**
         * Counts a connection that broke before its first response, as happens to connections above an instance's
         * limit.
         */
        void countBrokenUnused() {
            brokenUnused.increment();
        }

        /** Registers gauges for the state of the service. */
        void registerGauges(ServiceState state) {
            gauge("ridgemill.instance.connections.open", state, ServiceState::openConnections);
            gauge("ridgemill.admission.level", state, s -> s.admission().level());
            gauge("ridgemill.origin.share", state, s -> s.originShare().perSecond());
        }

        private void gauge(String name, ServiceState state, java.util.function.ToDoubleFunction<ServiceState> value) {
            Gauge.builder(name, state, value).tag("service", service).register(registry);
        }

        /**
         * The requests refused and failed since the start, by reason, as pairs for the log; empty if there were none.
         */
        String describeRefusals() {
            StringBuilder text = new StringBuilder();
            append(text, "refused_", refused);
            append(text, "failed_", failed);
            return text.toString();
        }

        /**
         * Requests sent, connections opened and connections broken before use since the start, as pairs for the log.
         */
        String describeConnections() {
            return " sent=" + (long) sent.count() + " opened=" + (long) opened.count() + " broken_unused="
                    + (long) brokenUnused.count();
        }

        private static void append(StringBuilder text, String prefix, Map<RefusalReason, Counter> counters) {
            counters.forEach((reason, counter) -> text.append(' ')
                    .append(prefix)
                    .append(reason.label())
                    .append('=')
                    .append((long) counter.count()));
        }
    }
}

package ridgemill.gateway.rollout;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import ridgemill.core.RequestCounters;
import ridgemill.gateway.audit.AuditService;
import ridgemill.gateway.lease.LeaseService;
import ridgemill.gateway.net.Log;
import ridgemill.lease.LeaseManager.Permit;
import ridgemill.rollout.FileFingerprint.FileVersion;
import ridgemill.rollout.FileFingerprint;
import ridgemill.rollout.Quarantine;
import ridgemill.rollout.Rollout;
import ridgemill.rollout.RolloutMessage;
import ridgemill.rollout.RolloutWire;

/**
 * One proxy's part in rollouts. {@link Rollout} and {@link Quarantine} make the decisions; this class transfers the
 * datagrams, holds the lease and passes on the file, which is validated and applied outside of the event loop. All
 * methods must be called on the event loop unless stated otherwise.
 */
public final class RolloutService implements LeaseService.LeasedTask, Rollout.Callbacks {

    /** Name of the lease. */
    public static final String LEASE = "roll";
    /** Duration of the permit to send: from reading the clock to the last datagram. */
    private static final double SEND_PERMIT_MS = 50;
    /** A proxy that received a reply of the coordinator within this time takes part in the rollout. */
    private static final double COORDINATED_WITHIN_MS = 5000;

    /** Validates and applies operator file texts; the results may complete on any thread. */
    public interface FileHandler {

        /** Validates a received text; returns its version and digest, or the problem with it. */
        CompletionStage<Validation> validate(String shared);

        /**
         * Applies a valid text to this proxy.
         *
         * @param mayApply called on the event loop in the turn in which the text takes effect; false if it is too late
         * @return the problem; empty if the text is now in effect
         */
        CompletionStage<String> apply(String shared, BooleanSupplier mayApply, String cause);
    }

    /** The result of validating a text; {@code problem} is empty if it is valid. */
    public record Validation(FileVersion version, String problem) { }

    private final EventLoop loop;
    private final LeaseService leases;
    private final AuditService audit;
    private final Supplier<RequestCounters> requestCounters;
    private final FileHandler fileHandler;
    private final Rollout rollout;
    private final Quarantine quarantine;
    private final Map<Integer, Integer> indexByMember = new HashMap<>();
    private final List<Integer> memberIds;
    private Quarantine.Reason lastReason = Quarantine.Reason.IN;
    private long changes;

    /**
     * Registers the task with the leases.
     *
     * @param members member ids of all proxies in leases, in the order of the platform's peers
     * @param self index of this proxy among them
     */
    public RolloutService(EventLoop loop, LeaseService leases, AuditService audit,
                          Supplier<RequestCounters> requestCounters, RolloutSettings settings, List<Integer> members,
                          int self, FileHandler fileHandler) {
        this.loop = loop;
        this.leases = leases;
        this.audit = audit;
        this.requestCounters = requestCounters;
        this.fileHandler = fileHandler;
        this.memberIds = List.copyOf(members);
        for (int i = 0; i < members.size(); i++) {
            this.indexByMember.put(members.get(i), i);
        }
        this.rollout = new Rollout(self, members.size(), audit.history().incarnation(), leases.now(), settings.policy(),
                this);
        this.quarantine = new Quarantine(self, members.size(), leases.now(), settings.quarantineLimits());
        audit.setOutOfService(this::isOutOfService);
        leases.setOutOfService(this::isOutOfService);
        leases.register(LEASE, this);
    }

    /** Sets the file that is in effect in this proxy, and the shared part of its text. */
    public void setInEffect(FileFingerprint fingerprint, String shared) {
        rollout.setInEffect(fingerprint, shared);
    }

    /** Returns the shared part of the text that is in effect in this proxy. */
    public String textInEffect() {
        return rollout.textInEffect();
    }

    @Override
    public boolean wantsLease(double now) {
        return rollout.wantsLease(now);
    }

    @Override
    public double tick(double now, boolean holds) {
        boolean coordinated = rollout.isCoordinated(now, COORDINATED_WITHIN_MS);
        quarantine.update(now, versionInEffect(), audit.others(), coordinated);
        if (quarantine.reason() != lastReason) {
            lastReason = quarantine.reason();
            changes++;
            Log.info("fleet: this proxy is " + (isOutOfService() ? "out" : "in") + ": " + lastReason);
        }
        return rollout.tick(now, holds, voterIndexes(), quarantine.differsFromFleet() && !coordinated);
    }

    private boolean isLagging(double now) {
        return quarantine.differsFromFleet() && !rollout.isCoordinated(now, COORDINATED_WITHIN_MS);
    }

    private List<Integer> voterIndexes() {
        return leases.otherVoters(LEASE).stream().map(indexByMember::get).filter(m -> m != null).toList();
    }

    @Override
    public void datagramReceived(double now, int member, byte[] datagram) {
        Integer from = indexByMember.get(member);
        if (from != null) {
            RolloutWire.decode(datagram).ifPresent(message -> rollout.receive(now, from, message, isLagging(now)));
        }
    }

    @Override
    public long term() {
        // Returned at once: the message is one datagram, whose age the receiver checks.
        Optional<Permit> permit = leases.permit(LEASE, SEND_PERMIT_MS);
        permit.ifPresent(leases::permitDone);
        return permit.map(Permit::term).orElse(0L);
    }

    @Override
    public void sendMessage(int to, RolloutMessage message) {
        leases.sendToMember(memberIds.get(to), RolloutWire.encode(message));
    }

    @Override
    public void validate(FileFingerprint fingerprint, String text) {
        fileHandler.validate(text).whenComplete((validation, failure) -> loop.execute(() -> {
            String problem = failure != null ? "fault: " + failure.getMessage()
                    : !validation.problem().isEmpty() ? validation.problem()
                    : fingerprint.matches(validation.version()) ? ""
                    : "says that it is " + validation.version().text() + " and not " + fingerprint.text();
            if (!problem.isEmpty()) {
                audit.fileRefused(fingerprint.number(), problem);
            }
            rollout.validated(leases.now(), fingerprint, problem);
        }));
    }

    @Override
    public void apply(FileFingerprint fingerprint, String text, double deadlineMs, long term) {
        boolean[] late = {false};
        fileHandler.apply(text, () -> {
            late[0] = leases.now() > deadlineMs;
            return !late[0];
        }, term > 0 ? "roll, term " + term : "brought up by others").whenComplete((reply, failure) ->
                loop.execute(() -> {
            String problem = failure != null ? "fault: " + failure.getMessage() : reply;
            changes += problem.isEmpty() ? 1 : 0;
            rollout.applied(leases.now(), fingerprint, problem, late[0]);
        }));
    }

    @Override
    public void notifyOperators(String message) {
        Log.info("rollout: " + message);
    }

    @Override
    public FileVersion versionInEffect() {
        return audit.fileInEffect();
    }

    @Override
    public boolean isOutOfService() {
        return quarantine.isOutOfService(leases.now());
    }

    @Override
    public Rollout.Counts counts() {
        RequestCounters counters = requestCounters.get();
        return new Rollout.Counts((int) counters.served(),
                (int) (counters.served() + counters.refused() + counters.failed()));
    }

    /**
     * Starts a rollout of a valid text; {@code rollback} is the valid text for a rollback. Returns a reply for the
     * operator.
     */
    public String begin(FileFingerprint target, String targetText, FileFingerprint rollback, String rollbackText) {
        return leases.isVoter(LEASE) ? rollout.begin(target, targetText, rollback, rollbackText)
                : "no: this proxy can't hold the lease; ask one of " + leases.votersText(LEASE);
    }

    /** Rolls back the rollout that this proxy coordinates. Returns a reply for the operator. */
    public String rollBack() {
        return rollout.rollBack();
    }

    /** Describes the state of the rollout and of this proxy for operators. */
    public List<String> describe() {
        List<String> lines = new ArrayList<>(rollout.explain());
        lines.add("this proxy acts under " + versionInEffect().text() + " and is " + (isOutOfService() ? "OUT" : "in")
                + ": " + quarantine.reason());
        return lines;
    }

    /** Returns the metrics for the console by name. */
    public Map<String, Long> metrics() {
        return Map.of("fleet_out", isOutOfService() ? 1L : 0L, "fleet_changes", changes,
                "roll_open", rollout.isInProgress() ? 1L : 0L);
    }
}

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
 * One proxy's part in rolls. What it decides is {@link Rollout}'s and {@link Quarantine}'s; this has the datagrams, the lease, and the file,
 * which is looked at and taken elsewhere than on the loop. All calls are on the loop but where it is said.
 */
public final class RolloutService implements LeaseService.LeasedTask, Rollout.Callbacks {

    /** The lease's name. */
    public static final String LEASE = "roll";
    /** What telling may take, from the look at the clock to the last datagram. */
    private static final double SEND_PERMIT_MS = 50;
    /** Who was answered within so long has its place in a roll. */
    private static final double COORDINATED_WITHIN_MS = 5000;

    /** What becomes of texts; both answer anywhere. */
    public interface FileHandler {

        /** Looks at a text that came: its number and meaning, or what is wrong with it. */
        CompletionStage<Validation> validate(String shared);

        /**
         * Has this proxy act under a text that was found good.
         *
         * @param may asked on the loop, in the same turn in which it takes effect; false for too late
         * @return what was wrong; empty where it acts under it now
         */
        CompletionStage<String> apply(String shared, BooleanSupplier may, String cause);
    }

    /** What a text was found to be; {@code problem} is empty for a good one. */
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

    /** {@code members} are the lease's numbers of all proxies, in the order of the platform's peers; {@code self} is this one's place. */
    public RolloutService(EventLoop loop, LeaseService leases, AuditService audit, Supplier<RequestCounters> tally, RolloutSettings settings, List<Integer> members,
                          int self, FileHandler files) {
        this.loop = loop;
        this.leases = leases;
        this.audit = audit;
        this.requestCounters = tally;
        this.fileHandler = files;
        this.memberIds = List.copyOf(members);
        for (int i = 0; i < members.size(); i++) {
            this.indexByMember.put(members.get(i), i);
        }
        this.rollout = new Rollout(self, members.size(), audit.history().incarnation(), leases.now(), settings.policy(), this);
        this.quarantine = new Quarantine(self, members.size(), leases.now(), settings.quarantineLimits());
        audit.setOutOfService(this::isOutOfService);
        leases.setOutOfService(this::isOutOfService);
        leases.register(LEASE, this);
    }

    /** This proxy acts under a file whose shared text this is. */
    public void setInEffect(FileFingerprint stamp, String shared) {
        rollout.setInEffect(stamp, shared);
    }

    /** What this proxy acts under, as it goes from proxy to proxy. */
    public String textInEffect() {
        return rollout.textInEffect();
    }

    @Override
    public boolean wantsLease(double now) {
        return rollout.wantsLease(now);
    }

    @Override
    public double tick(double now, boolean holds) {
        boolean led = rollout.isCoordinated(now, COORDINATED_WITHIN_MS);
        quarantine.update(now, versionInEffect(), audit.others(), led);
        if (quarantine.reason() != lastReason) {
            lastReason = quarantine.reason();
            changes++;
            Log.info("fleet: this proxy is " + (isOutOfService() ? "out" : "in") + ": " + lastReason);
        }
        return rollout.tick(now, holds, voterIndexes(), quarantine.differsFromFleet() && !led);
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
            RolloutWire.decode(datagram).ifPresent(word -> rollout.receive(now, from, word, isLagging(now)));
        }
    }

    @Override
    public long term() {
        // Taken and given back at once: what is told is one datagram, whose age its reader checks.
        Optional<Permit> permit = leases.permit(LEASE, SEND_PERMIT_MS);
        permit.ifPresent(leases::permitDone);
        return permit.map(Permit::term).orElse(0L);
    }

    @Override
    public void sendMessage(int to, RolloutMessage word) {
        leases.sendToMember(memberIds.get(to), RolloutWire.encode(word));
    }

    @Override
    public void validate(FileFingerprint stamp, String text) {
        fileHandler.validate(text).whenComplete((found, failed) -> loop.execute(() -> {
            String problem = failed != null ? "fault: " + failed.getMessage() : !found.problem().isEmpty() ? found.problem()
                    : stamp.matches(found.version()) ? "" : "says that it is " + found.version().text() + " and not " + stamp.text();
            if (!problem.isEmpty()) {
                audit.fileRefused(stamp.number(), problem);
            }
            rollout.validated(leases.now(), stamp, problem);
        }));
    }

    @Override
    public void apply(FileFingerprint stamp, String text, double byMs, long term) {
        boolean[] late = {false};
        fileHandler.apply(text, () -> {
            late[0] = leases.now() > byMs;
            return !late[0];
        }, term > 0 ? "roll, term " + term : "brought up by others").whenComplete((said, failed) -> loop.execute(() -> {
            String problem = failed != null ? "fault: " + failed.getMessage() : said;
            changes += problem.isEmpty() ? 1 : 0;
            rollout.applied(leases.now(), stamp, problem, late[0]);
        }));
    }

    @Override
    public void notifyOperators(String words) {
        Log.info("roll: " + words);
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
        RequestCounters t = requestCounters.get();
        return new Rollout.Counts((int) t.served(), (int) (t.served() + t.refused() + t.failed()));
    }

    /** Begins a roll of a text that was found good, as was the way back; returns what came of it, in words. */
    public String begin(FileFingerprint target, String targetText, FileFingerprint back, String backText) {
        return leases.isVoter(LEASE) ? rollout.begin(target, targetText, back, backText)
                : "no: this proxy can't hold the lease; ask one of " + leases.votersText(LEASE);
    }

    /** Has the roll that is conducted here go back; returns what came of it, in words. */
    public String rollBack() {
        return rollout.rollBack();
    }

    /** How it goes, in words. */
    public List<String> describe() {
        List<String> lines = new ArrayList<>(rollout.explain());
        lines.add("this proxy acts under " + versionInEffect().text() + " and is " + (isOutOfService() ? "OUT" : "in") + ": " + quarantine.reason());
        return lines;
    }

    /** Counts for the console. */
    public Map<String, Long> metrics() {
        return Map.of("fleet_out", isOutOfService() ? 1L : 0L, "fleet_changes", changes, "roll_open", rollout.isInProgress() ? 1L : 0L);
    }
}

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
import ridgemill.lease.Leases.Permit;
import ridgemill.rollout.Aside;
import ridgemill.rollout.Roll;
import ridgemill.rollout.RollWire;
import ridgemill.rollout.Stamp.Acting;
import ridgemill.rollout.Stamp;
import ridgemill.rollout.Word;

/**
 * One proxy's part in rolls. What it decides is {@link Roll}'s and {@link Aside}'s; this has the datagrams, the lease, and the file,
 * which is looked at and taken elsewhere than on the loop. All calls are on the loop but where it is said.
 */
public final class RolloutService implements LeaseService.Duty, Roll.Out {

    /** The lease's name. */
    public static final String LEASE = "roll";
    /** What telling may take, from the look at the clock to the last datagram. */
    private static final double TELL_MS = 50;
    /** Who was answered within so long has its place in a roll. */
    private static final double LED_MS = 5000;

    /** What becomes of texts; both answer anywhere. */
    public interface Files {

        /** Looks at a text that came: its number and meaning, or what is wrong with it. */
        CompletionStage<Found> look(String shared);

        /**
         * Has this proxy act under a text that was found good.
         *
         * @param may asked on the loop, in the same turn in which it takes effect; false for too late
         * @return what was wrong; empty where it acts under it now
         */
        CompletionStage<String> take(String shared, BooleanSupplier may, String cause);
    }

    /** What a text was found to be; {@code problem} is empty for a good one. */
    public record Found(Acting acting, String problem) { }

    private final EventLoop loop;
    private final LeaseService leases;
    private final AuditService audit;
    private final Supplier<RequestCounters> tally;
    private final Files files;
    private final Roll roll;
    private final Aside aside;
    private final Map<Integer, Integer> members = new HashMap<>();
    private final List<Integer> numbers;
    private Aside.Why before = Aside.Why.IN;
    private long changes;

    /** {@code members} are the lease's numbers of all proxies, in the order of the platform's peers; {@code self} is this one's place. */
    public RolloutService(EventLoop loop, LeaseService leases, AuditService audit, Supplier<RequestCounters> tally, RolloutSettings settings, List<Integer> members,
                          int self, Files files) {
        this.loop = loop;
        this.leases = leases;
        this.audit = audit;
        this.tally = tally;
        this.files = files;
        this.numbers = List.copyOf(members);
        for (int i = 0; i < members.size(); i++) {
            this.members.put(members.get(i), i);
        }
        this.roll = new Roll(self, members.size(), audit.record().incarnation(), leases.now(), settings.policy(), this);
        this.aside = new Aside(self, members.size(), leases.now(), settings.bounds());
        audit.tellOut(this::isOut);
        leases.asideWhile(this::isOut);
        leases.take(LEASE, this);
    }

    /** This proxy acts under a file whose shared text this is. */
    public void actsUnder(Stamp stamp, String shared) {
        roll.actsUnder(stamp, shared);
    }

    /** What this proxy acts under, as it goes from proxy to proxy. */
    public String actingText() {
        return roll.actingText();
    }

    @Override
    public boolean wants(double now) {
        return roll.wants(now);
    }

    @Override
    public double tick(double now, boolean holds) {
        boolean led = roll.isLed(now, LED_MS);
        aside.look(now, acting(), audit.others(), led);
        if (aside.why() != before) {
            before = aside.why();
            changes++;
            Log.info("fleet: this proxy is " + (isOut() ? "out" : "in") + ": " + before);
        }
        return roll.tick(now, holds, electors(), aside.differs() && !led);
    }

    private boolean lags(double now) {
        return aside.differs() && !roll.isLed(now, LED_MS);
    }

    private List<Integer> electors() {
        return leases.others(LEASE).stream().map(members::get).filter(m -> m != null).toList();
    }

    @Override
    public void heard(double now, int member, byte[] datagram) {
        Integer from = members.get(member);
        if (from != null) {
            RollWire.decode(datagram).ifPresent(word -> roll.heard(now, from, word, lags(now)));
        }
    }

    @Override
    public long term() {
        // Taken and given back at once: what is told is one datagram, whose age its reader checks.
        Optional<Permit> permit = leases.permit(LEASE, TELL_MS);
        permit.ifPresent(leases::done);
        return permit.map(Permit::term).orElse(0L);
    }

    @Override
    public void say(int to, Word word) {
        leases.tellMember(numbers.get(to), RollWire.encode(word));
    }

    @Override
    public void check(Stamp stamp, String text) {
        files.look(text).whenComplete((found, failed) -> loop.execute(() -> {
            String problem = failed != null ? "fault: " + failed.getMessage() : !found.problem().isEmpty() ? found.problem()
                    : stamp.is(found.acting()) ? "" : "says that it is " + found.acting().text() + " and not " + stamp.text();
            if (!problem.isEmpty()) {
                audit.refused(stamp.file(), problem);
            }
            roll.checked(leases.now(), stamp, problem);
        }));
    }

    @Override
    public void act(Stamp stamp, String text, double byMs, long term) {
        boolean[] late = {false};
        files.take(text, () -> {
            late[0] = leases.now() > byMs;
            return !late[0];
        }, term > 0 ? "roll, term " + term : "brought up by others").whenComplete((said, failed) -> loop.execute(() -> {
            String problem = failed != null ? "fault: " + failed.getMessage() : said;
            changes += problem.isEmpty() ? 1 : 0;
            roll.acted(leases.now(), stamp, problem, late[0]);
        }));
    }

    @Override
    public void says(String words) {
        Log.info("roll: " + words);
    }

    @Override
    public Acting acting() {
        return audit.acting();
    }

    @Override
    public boolean isOut() {
        return aside.isOut(leases.now());
    }

    @Override
    public Roll.Counts counts() {
        RequestCounters t = tally.get();
        return new Roll.Counts((int) t.served(), (int) (t.served() + t.refused() + t.failed()));
    }

    /** Begins a roll of a text that was found good, as was the way back; returns what came of it, in words. */
    public String begin(Stamp target, String targetText, Stamp back, String backText) {
        return leases.isElector(LEASE) ? roll.begin(target, targetText, back, backText)
                : "no: this proxy can't hold the lease; ask one of " + leases.electorsText(LEASE);
    }

    /** Has the roll that is conducted here go back; returns what came of it, in words. */
    public String goBack() {
        return roll.goBack();
    }

    /** How it goes, in words. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>(roll.explain());
        lines.add("this proxy acts under " + acting().text() + " and is " + (isOut() ? "OUT" : "in") + ": " + aside.why());
        return lines;
    }

    /** Counts for the console. */
    public Map<String, Long> figures() {
        return Map.of("fleet_out", isOut() ? 1L : 0L, "fleet_changes", changes, "roll_open", roll.isOpen() ? 1L : 0L);
    }
}

package ridgemill.cdn.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.quorum.Voter;

/** Brings the state of another store here: asks page after page and checks the whole against its digest. */
final class StatePull {

    /** A page that did not come is asked for again after so long, in milliseconds. */
    private static final double ASK_AGAIN_MS = 300;
    /** A transfer that brings nothing for so long is given up, in milliseconds. */
    private static final double GIVE_UP_MS = 1_500;

    private final Voter self;
    private final String lifeId;
    private final AgreementEnvironment environment;
    private final List<VersionedItem> items = new ArrayList<>();
    private long transfers;
    private Voter source;
    private String transfer;
    private Stamp have;
    private Stamp stamp;
    private int page;
    private double askedAtMs;
    private double cameAtMs;

    /**
     * A pull without a transfer under way.
     *
     * @param lifeId names this life and this user of transfers, so that answers to earlier ones are not taken
     */
    StatePull(Voter self, String lifeId, AgreementEnvironment environment) {
        this.self = self;
        this.lifeId = lifeId;
        this.environment = environment;
    }

    boolean isActive() {
        return source != null;
    }

    /** Whether the store that is asked now is this one. */
    boolean isFrom(Voter store) {
        return store.equals(source);
    }

    /** Begins a transfer; one that is under way is given up. */
    void begin(Voter from, Stamp held, double nowMs) {
        source = from;
        have = held;
        transfer = lifeId + "-" + ++transfers;
        restart();
        cameAtMs = nowMs;
        ask(nowMs);
    }

    void giveUp() {
        source = null;
    }

    private void restart() {
        page = 0;
        stamp = null;
        items.clear();
    }

    private void ask(double nowMs) {
        askedAtMs = nowMs;
        environment.send(source.address(), new AgreementMessage.Pull(self, transfer, have, page));
    }

    /** Asks again for what did not come, or gives up. */
    void tick(double nowMs) {
        if (!isActive()) {
            return;
        }
        if (nowMs - cameAtMs > GIVE_UP_MS) {
            giveUp();
        } else if (nowMs - askedAtMs > ASK_AGAIN_MS) {
            ask(nowMs);
        }
    }

    private boolean isExpected(Voter from, String name) {
        return isActive() && source.equals(from) && transfer.equals(name);
    }

    /** Takes a difference. Returns what was pulled if it is of the transfer under way. */
    Optional<Pulled> take(AgreementMessage.Difference difference) {
        if (!isExpected(difference.from(), difference.transfer())) {
            return Optional.empty();
        }
        giveUp();
        return Optional.of(new Pulled(difference.from(), difference.decided(), difference.steps(), null));
    }

    /** Takes a page. Returns what was pulled once all pages are there and match their digest. */
    Optional<Pulled> take(AgreementMessage.Page received, double nowMs) {
        if (!isExpected(received.from(), received.transfer())) {
            return Optional.empty();
        }
        if (stamp != null && !received.stamp().equals(stamp)) {
            restart();
        }
        if (received.page() != page) {
            return Optional.empty();
        }
        cameAtMs = nowMs;
        stamp = received.stamp();
        items.addAll(received.items());
        page++;
        if (page < received.pages()) {
            ask(nowMs);
            return Optional.empty();
        }
        ControlState whole = new ControlState(received.stamp(), received.voters(), items);
        giveUp();
        boolean intact = whole.digest() == received.digest();
        return intact
                ? Optional.of(new Pulled(received.from(), received.decided(), List.of(), whole))
                : Optional.empty();
    }
}

package ridgemill.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ridgemill.testbed.ledger.ClientEntry;
import ridgemill.testbed.ledger.Ledger;
import ridgemill.testbed.ledger.NodeEntry;

/**
 * What stand-ins worked on for nobody, from the ledgers alone: a request is wanted until its client left or its time was up,
 * and its work is wasted unless its client was served.
 *
 * @param begunLateMs how long after that each read that began too late began, in milliseconds; a write that is with a node goes
 *     on to its end, also from behind others of its connection
 * @param overhangMs for how long after that a core worked on each read that was not done by then; writes can't be recalled
 * @param storeMs core time at the store
 * @param unreadMs core time at the store for requests whose clients were not served with it
 */
record OrphanWork(List<Double> begunLateMs, List<Double> overhangMs, double storeMs, double unreadMs) {

    /** Reads ledgers in which all has ended. {@code store} is the name of the stores. */
    static OrphanWork of(Ledger ledger, String store) {
        Map<String, ClientEntry> clients = new HashMap<>();
        ledger.clients().forEach(c -> clients.put(c.id(), c));
        List<Double> begunLate = new ArrayList<>();
        List<Double> overhang = new ArrayList<>();
        double storeMs = 0;
        double unreadMs = 0;
        for (NodeEntry e : ledger.nodes()) {
            ClientEntry c = clients.get(e.id());
            if (c == null || e.begunAt() == 0) {
                continue;
            }
            double wantedUntil = c.leftAt() > 0 ? c.leftAt() : c.sentAt() + c.budgetMs();
            if (e.begunAt() > wantedUntil && !e.isWrite()) {
                begunLate.add(e.begunAt() - wantedUntil);
            }
            if (e.workedFrom() > 0 && !e.isWrite()) {
                overhang.add(Math.max(0, e.workedUntil() - wantedUntil));
            }
            if (e.node().equals(store)) {
                storeMs += e.workedMs();
                unreadMs += isServed(c) ? 0 : e.workedMs();
            }
        }
        begunLate.sort(null);
        overhang.sort(null);
        return new OrphanWork(begunLate, overhang, storeMs, unreadMs);
    }

    static boolean isServed(ClientEntry c) {
        return !c.replies().isEmpty() && c.replies().get(0).kind() == ClientEntry.Kind.SERVED;
    }

    /** How many reads a core worked on for longer than this after nobody wanted them. */
    long overhangOver(double ms) {
        return overhangMs.stream().filter(o -> o > ms).count();
    }

    /** Of sorted figures, the one below which this part of them lies; 0 where there are none. */
    static double at(List<Double> sorted, double part) {
        return sorted.isEmpty() ? 0 : sorted.get((int) Math.min(sorted.size() - 1, sorted.size() * part));
    }
}

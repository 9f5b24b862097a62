package ridgemill.testbed.ledger;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import ridgemill.testbed.ledger.ClientEntry.Kind;
import ridgemill.testbed.ledger.ClientEntry.Reply;
import ridgemill.testbed.ledger.LoadClass.Effect;
import ridgemill.testbed.ledger.Violation.Rule;

/**
 * Reads the ledgers when all has stopped and names each request that broke a rule. It trusts nothing that a proxy says
 * of itself: only what reached stand-ins and clients counts.
 */
public final class Auditor {

    /**
     * The figures of the rules.
     *
     * @param slackMs by how much each time limit is longer here, for what the machine adds
     * @param drainGraceMs for how long after it was told a proxy may still begin to send to a draining node
     * @param repeatWindowMs for how long nodes drop the repeats of a keyed request
     */
    public record Limits(double slackMs, double drainGraceMs, double repeatWindowMs) {

        /** The figures of the protocol, with 50 ms of slack. */
        public static final Limits STRICT = new Limits(50, 2000, 6000);

        public Limits withSlack(double ms) {
            return new Limits(ms, drainGraceMs, repeatWindowMs);
        }
    }

    private final Ledger ledger;
    private final Limits limits;
    private final List<Violation> violations = new ArrayList<>();
    private final Map<String, List<NodeEntry>> attempts = new HashMap<>();
    private final Map<String, ClientEntry> clients = new HashMap<>();

    public Auditor(Ledger ledger, Limits limits) {
        this.ledger = ledger;
        this.limits = limits;
    }

    /** All violations, in no particular order; empty if the rules were kept. */
    public List<Violation> audit() {
        violations.clear();
        attempts.clear();
        clients.clear();
        ledger.nodes().stream()
                .filter(e -> e.begunAt() > 0 && !e.id().isEmpty())
                .forEach(e -> attempts.computeIfAbsent(e.id(), id -> new ArrayList<>())
                        .add(e));
        attempts.values().forEach(list -> list.sort(Comparator.comparingDouble(NodeEntry::begunAt)));
        ledger.clients().forEach(c -> clients.put(c.id(), c));
        ledger.clients().forEach(this::answers);
        ledger.clients().forEach(this::attempts);
        effects();
        drains();
        ledger.fallen()
                .forEach(f -> broken(
                        Rule.COLD_NODE_SPARED,
                        f.request(),
                        "node " + f.node() + " fell over at %.0f ms".formatted(f.at())));
        ledger.nodes().stream()
                .filter(e -> e.begunAt() > 0 && !e.id().isEmpty() && !clients.containsKey(e.id()))
                .forEach(
                        e -> broken(Rule.NO_SECOND_EFFECT, e.id(), "no client sent this, but " + e.node() + " got it"));
        return List.copyOf(violations);
    }

    private void broken(Rule rule, String request, String what) {
        violations.add(new Violation(rule, request, what));
    }

    private List<NodeEntry> attemptsOf(ClientEntry c) {
        return attempts.getOrDefault(c.id(), List.of());
    }

    private void answers(ClientEntry c) {
        List<Reply> replies = c.replies();
        if (c.resentAt() > 0 && !excused(c)) {
            attemptsOf(c).stream()
                    .filter(a -> a.begunAt() < c.resentAt())
                    .findFirst()
                    .ifPresent(a -> broken(
                            Rule.ONE_FINAL_ANSWER,
                            c.id(),
                            "its connection ended with no answer though it was sent on: " + a));
        }
        if (replies.size() > 1) {
            broken(Rule.ONE_FINAL_ANSWER, c.id(), replies.size() + " answers");
        }
        if (replies.isEmpty()) {
            if (!excused(c)) {
                broken(
                        Rule.ONE_FINAL_ANSWER,
                        c.id(),
                        "no answer" + (c.isCut() ? ", its connection ended" : "") + "; attempts: " + attemptsOf(c));
            }
            return;
        }
        Reply reply = replies.get(0);
        double late = reply.at() - c.sentAt() - c.budgetMs();
        if (late > limits.slackMs() && !excused(c)) {
            broken(Rule.ONE_FINAL_ANSWER, c.id(), "answered %.0f ms after the client's time was up".formatted(late));
        }
        if (reply.kind() == Kind.SERVED
                && attemptsOf(c).stream()
                        .noneMatch(a -> reply.body() == null
                                ? a.body() != null
                                : reply.body().equals(a.body()))) {
            broken(Rule.ONE_FINAL_ANSWER, c.id(), "served with what no node made for it: " + reply.body());
        }
    }

    /** Whether nobody owed it an answer: never taken, the client left, or its proxy was killed or stopped while it was out. */
    private boolean excused(ClientEntry c) {
        boolean killed = ledger.killed().stream()
                .anyMatch(k -> k.proxy().equals(c.proxy())
                        && k.at() + limits.slackMs() >= c.sentAt()
                        && k.at() <= c.sentAt() + c.budgetMs());
        boolean stopped = ledger.stopped().stream()
                .anyMatch(s -> s.proxy().equals(c.proxy())
                        && s.to() + limits.slackMs() >= c.sentAt()
                        && s.from() <= c.sentAt() + c.budgetMs() + limits.slackMs());
        return c.isUnsent() || c.leftAt() > 0 || killed || stopped;
    }

    private void attempts(ClientEntry c) {
        List<NodeEntry> sent = attemptsOf(c);
        for (int i = 0; i < sent.size(); i++) {
            NodeEntry next = sent.get(i);
            for (NodeEntry earlier : sent.subList(0, i)) {
                if (next.begunAt() < earlier.awaitedUntil() - limits.slackMs()) {
                    broken(Rule.NO_SECOND_EFFECT, c.id(), "two attempts out at once: " + earlier + " and " + next);
                }
                repeat(c, earlier, next);
            }
            c.replies().stream()
                    .filter(r -> next.begunAt() > r.at() + limits.slackMs())
                    .findFirst()
                    .ifPresent(r -> broken(
                            Rule.ONE_FINAL_ANSWER, c.id(), "sent to " + next.node() + " after its final answer"));
            if (c.sentAt() > 0 && next.begunAt() > c.sentAt() + c.budgetMs() + limits.slackMs()) {
                broken(Rule.ONE_FINAL_ANSWER, c.id(), "sent to " + next.node() + " after the client's time was up");
            }
        }
        boolean refused = c.replies().stream().anyMatch(r -> r.kind() == Kind.REFUSED);
        if (refused && c.service().effect() == Effect.UNSAFE) {
            sent.stream()
                    .filter(a -> a.fate().mayHaveRun())
                    .findFirst()
                    .ifPresent(a -> broken(Rule.NO_SECOND_EFFECT, c.id(), "refused, though it may have run: " + a));
        }
    }

    private void repeat(ClientEntry c, NodeEntry earlier, NodeEntry next) {
        if (!earlier.fate().mayHaveRun()) {
            return;
        }
        if (c.service().effect() == Effect.UNSAFE) {
            broken(Rule.NO_SECOND_EFFECT, c.id(), "unsafe and sent again: " + earlier + ", then " + next);
        } else if (c.service().effect() == Effect.KEYED
                && next.begunAt() - earlier.begunAt() > limits.repeatWindowMs() + limits.slackMs()) {
            broken(
                    Rule.NO_SECOND_EFFECT,
                    c.id(),
                    "sent again after repeats are remembered: " + earlier + ", then " + next);
        }
    }

    /** One wish, one effect: by the key that the client gave it, or by the request where it gave none. */
    private void effects() {
        Map<String, List<NodeEntry>> recorded = ledger.nodes().stream()
                .filter(NodeEntry::hasRecorded)
                .collect(Collectors.groupingBy(
                        e -> e.idempotencyKey() == null ? "id " + e.id() : "key " + e.idempotencyKey()));
        recorded.forEach((wish, entries) -> {
            if (entries.size() > 1) {
                broken(
                        Rule.NO_SECOND_EFFECT,
                        entries.get(1).id(),
                        wish + " recorded " + entries.size() + " times: " + entries);
            }
        });
    }

    /** For each attempt, the last that its proxy was told of the node long enough before. */
    private void drains() {
        Map<String, List<Ledger.Told>> news =
                ledger.told().stream().collect(Collectors.groupingBy(t -> t.proxy() + " " + t.node()));
        for (NodeEntry e : ledger.nodes()) {
            ClientEntry c = clients.get(e.id());
            if (c == null) {
                continue;
            }
            double known = e.firstByteAt() - limits.drainGraceMs() - limits.slackMs();
            List<Ledger.Told> told = news.getOrDefault(c.proxy() + " " + e.node(), List.of());
            boolean backUp = told.stream()
                    .anyMatch(t -> t.at() > known
                            && t.at() <= e.firstByteAt()
                            && t.health().equals("up"));
            told.stream()
                    .filter(t -> t.at() <= known)
                    .reduce((a, b) -> b)
                    .filter(t -> !t.health().equals("up"))
                    .filter(t -> !backUp)
                    .ifPresent(t -> broken(
                            Rule.DRAINS_KEPT,
                            e.id(),
                            "sent to " + e.node()
                                    + " %.0f ms after its proxy was told: ".formatted(e.firstByteAt() - t.at())
                                    + t.health()));
        }
    }
}

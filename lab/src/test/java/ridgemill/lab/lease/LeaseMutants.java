package ridgemill.lab.lease;

import java.nio.file.Path;
import java.util.List;
import ridgemill.testbed.mutants.Mutant;

/** The lease module made wrong, each in one way that someone might have written. */
final class LeaseMutants {

    /** Where the module's sources are, seen from this one. */
    static final Path SOURCES = Path.of("..", "core", "src", "main", "java", "ridgemill", "lease");

    private static final String CANDIDATE = "Candidate.java";
    private static final String VOTER = "Voter.java";
    private static final String LEASES = "LeaseManager.java";
    private static final String POLICY = "LeasePolicy.java";

    private LeaseMutants() { }

    /** All of them; the first ones are those that processes must find too. */
    static List<Mutant> all() {
        return List.of(
                Mutant.of("a stopped process goes on where it was", CANDIDATE, "return state == State.HOLDING && now + actionMs < heldUntil;",
                        "return state == State.HOLDING;"),
                Mutant.of("a lease never runs out by itself", CANDIDATE, "return state == State.HOLDING && now + actionMs < heldUntil;",
                        "return state == State.HOLDING;").and(CANDIDATE, "if (state == State.HOLDING && now >= heldUntil) {",
                        "if (state == State.HOLDING && now >= heldUntil + 20 * policy.lengthMs()) {").and(CANDIDATE,
                        "state == State.HOLDING ? Math.min(dueAt, heldUntil) : dueAt", "dueAt"),
                Mutant.of("half is enough", "VoterSets.java", "return size / 2 + 1;", "return size / 2;"),
                Mutant.of("a voter gives its vote to all that ask", VOTER, "if (now < promisedUntil && !raisesTerm) {", "if (now < promisedUntil - 2 * policy.promiseMs()) {"),
                Mutant.of("a release is believed of anybody", VOTER,
                        "if (from == holder && release.incarnation() == incarnation && release.term() == term && !released) {", "if (!released) {"),
                Mutant.of("a duplicate counts as two votes", CANDIDATE, "votes.merge(from, requestedAt[vote.round() % TRACKED_ROUNDS], Math::max);",
                        "List<Integer> all = voterSets.get(0);\n        votes.merge(votes.containsKey(from) ? all.get(votes.size() % all.size()) : from,"
                        + " requestedAt[vote.round() % TRACKED_ROUNDS], Math::max);"),
                Mutant.of("a lease that was given back is used on", LEASES, "        candidate.stop(now);\n", ""),
                Mutant.of("a voter keeps its word for half as long", VOTER, "promisedUntil = now + policy.promiseMs();",
                        "promisedUntil = now + policy.promiseMs() / 2;"),
                Mutant.of("an old term is accepted", VOTER, "if (request.term() <= highestTerm) {", "if (request.term() <= 0) {")
                        .and(CANDIDATE, "term = Math.max(highestTerm + 1, (long) now);", "term = 1 + round / 2;"),
                Mutant.of("a voter that has started forgets that it may have promised", VOTER, "this.quietUntil = startedAt + policy.promiseMs();",
                        "this.quietUntil = startedAt;"),
                Mutant.of("every lease is held for twice as long", POLICY, "return lengthMs * (1 - drift) - marginMs;",
                        "return 2 * lengthMs * (1 - drift) - marginMs;"),
                Mutant.of("an answer counts from when it came", CANDIDATE, "votes.merge(from, requestedAt[vote.round() % TRACKED_ROUNDS], Math::max);",
                        "votes.merge(from, now, Math::max);"),
                Mutant.of("a late answer counts for the last question", CANDIDATE, "votes.merge(from, requestedAt[vote.round() % TRACKED_ROUNDS], Math::max);",
                        "votes.merge(from, requestedAt[round % TRACKED_ROUNDS], Math::max);"),
                Mutant.of("the best vote counts, not the one that makes more than half", CANDIDATE, "requestTimes.get(requestTimes.size() - quorum)",
                        "requestTimes.get(requestTimes.size() - 1)"),
                Mutant.of("an answer to an earlier attempt counts", CANDIDATE, "vote.term() != term || ", ""),
                Mutant.of("a slow clock of a holder is not reckoned with", POLICY, "return lengthMs * (1 - drift) - marginMs;",
                        "return lengthMs - marginMs;"),
                Mutant.of("a fast clock of a voter is not reckoned with", POLICY, "return lengthMs * (1 + drift);", "return lengthMs * (1 - drift);"),
                Mutant.of("the margin is left out", POLICY, "return lengthMs * (1 - drift) - marginMs;", "return lengthMs * (1 - drift);"),
                Mutant.of("an act's own time is left out", CANDIDATE, "now + actionMs < heldUntil", "now < heldUntil"),
                Mutant.of("a lease goes to the next while an act is out", LEASES, "if (task.openPermits > 0) {", "if (task.openPermits > 100) {"),
                Mutant.of("a voter that has started does not ask which terms there were", VOTER, "recovered |= !outdated && now >= recoveryTimeoutAt;",
                        "recovered = true;"),
                Mutant.of("the electorate changes at once", LEASES,
                        "return previousSettled ? List.of(voterSets.voters(hash), voterSets.previousVoters(hash)) : List.of();",
                        "return List.of(voterSets.voters(hash));"),
                Mutant.of("one of the two electorates is enough", CANDIDATE, "allQuorumsUntil = Math.min(allQuorumsUntil, quorumUntil(voterSet));",
                        "allQuorumsUntil = allQuorumsUntil == Double.POSITIVE_INFINITY ? quorumUntil(voterSet)"
                        + " : Math.max(allQuorumsUntil, quorumUntil(voterSet));"),
                Mutant.of("a change has settled when it was heard of", LEASES, "now >= peer.since() + policy.promiseMs()", "now >= peer.since()"),
                Mutant.of("votes are given for electorates of the past", VOTER, "if (mismatchedVoterSets) {", "if (mismatchedVoterSets && now < 0) {"),
                Mutant.of("changes follow each other before the one before has settled", LEASES, "previousSettled = settled || isNext && wasSettled;",
                        "previousSettled = true;"));
    }
}

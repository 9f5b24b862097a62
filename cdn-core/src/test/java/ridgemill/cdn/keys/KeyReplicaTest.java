package ridgemill.cdn.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** One voter's register, and three registers under calls in random order. */
final class KeyReplicaTest {

    private static final KeyLimits LIMITS = new KeyLimits(1_000, 3, 10_000);
    private static final byte[] ANSWER = {1};

    private final KeyReplica replica = new KeyReplica(LIMITS);

    @Test
    void grantsOneClaimAndRepeatsItsGrant() {
        assertThat(claim("a", 0)).isEqualTo(KeyVote.Outcome.GRANTED);
        assertThat(claim("b", 1)).isEqualTo(KeyVote.Outcome.DENIED);
        assertThat(replica.claim("key", "a", 2).changed()).isFalse();
        assertThat(claim("a", 2)).isEqualTo(KeyVote.Outcome.GRANTED);
    }

    @Test
    void releaseBeforeClaimIsRemembered() {
        assertThat(replica.release("key", "a", 0)).isNotNull();
        assertThat(claim("a", 1)).isEqualTo(KeyVote.Outcome.DENIED);
        assertThat(claim("b", 2)).isEqualTo(KeyVote.Outcome.GRANTED);
        assertThat(replica.release("key", "c", 3)).isNull();
        replica.release("key", "b", 4);
        assertThat(claim("a", 5)).isEqualTo(KeyVote.Outcome.DENIED);
        assertThat(claim("c", 6)).isEqualTo(KeyVote.Outcome.DENIED);
        assertThat(claim("d", 7)).isEqualTo(KeyVote.Outcome.GRANTED);
    }

    @Test
    void finishReplacesAnyRecordExceptAnAnswer() {
        claim("a", 0);
        assertThat(replica.finish("key", "b", ANSWER, 1).claimId()).isEqualTo("b");
        assertThat(replica.finish("key", "a", ANSWER, 2).claimId()).isEqualTo("b");
        replica.release("key", "b", 3);
        assertThat(replica.claim("key", "c", 4).record().state()).isEqualTo(KeyState.FINISHED);
    }

    @Test
    void recordsExpireAndAreCounted() {
        claim("a", 0);
        assertThat(replica.expire(999, 10)).isEmpty();
        assertThat(claim("b", 999)).isEqualTo(KeyVote.Outcome.DENIED);
        assertThat(claim("b", 1_000)).isEqualTo(KeyVote.Outcome.GRANTED);
        assertThat(replica.expire(1_999, 10)).isEmpty();
        assertThat(replica.expire(2_000, 10)).containsExactly("key");
        assertThat(replica.bytes()).isZero();
        for (int i = 0; i < 3; i++) {
            assertThat(replica.claim("key-" + i, "a", 3_000).outcome()).isEqualTo(KeyVote.Outcome.GRANTED);
        }
        assertThat(claim("a", 3_000)).isEqualTo(KeyVote.Outcome.FULL);
        assertThat(replica.claim("key-0", "a", 3_000).outcome()).isEqualTo(KeyVote.Outcome.GRANTED);
    }

    @Test
    void pagesHoldAllRecordsInOrder() {
        for (int i = 0; i < 3; i++) {
            replica.claim("key-" + i, "a", 0);
        }
        List<KeyRecord> first = replica.page("", 2, 10_000);
        assertThat(first).extracting(KeyRecord::key).containsExactly("key-0", "key-1");
        assertThat(replica.isLast("key-1")).isFalse();
        assertThat(replica.page("key-1", 2, 10_000)).extracting(KeyRecord::key).containsExactly("key-2");
        assertThat(replica.isLast("key-2")).isTrue();
    }

    /** Claims, duplicates and releases reach three voters in random order; one voter loses its disk and recovers. */
    @Test
    void atMostOneClaimObtainsMajority() {
        for (int seed = 0; seed < 3_000; seed++) {
            new Interleaving(new Random(seed)).run();
        }
    }

    private KeyVote.Outcome claim(String claimId, long nowMs) {
        return replica.claim("key", claimId, nowMs).outcome();
    }

    private static final class Interleaving {

        private static final int CLAIMS = 4;

        private final Random random;
        private final KeyReplica[] voters = new KeyReplica[3];
        private final Map<String, Set<Integer>> votes = new HashMap<>();
        private final Set<String> withdrawn = new HashSet<>();

        Interleaving(Random random) {
            this.random = random;
            for (int i = 0; i < voters.length; i++) {
                voters[i] = new KeyReplica(LIMITS);
            }
        }

        void run() {
            List<Consumer<Long>> calls = new ArrayList<>();
            for (int claim = 0; claim < CLAIMS; claim++) {
                String claimId = "c" + claim;
                for (int voter = 0; voter < voters.length; voter++) {
                    int target = voter;
                    calls.add(now -> vote(target, claimId, now));
                    calls.add(now -> vote(target, claimId, now));
                }
                calls.add(now -> withdraw(claimId, now));
            }
            Collections.shuffle(calls, random);
            int lossAt = random.nextInt(calls.size());
            for (int i = 0; i < calls.size(); i++) {
                if (i == lossAt) {
                    loseAndRecover(random.nextInt(voters.length));
                }
                calls.get(i).accept((long) i);
            }
            long winners = votes.values().stream()
                    .filter(granted -> granted.size() >= 2)
                    .count();
            assertThat(winners).isLessThanOrEqualTo(1);
        }

        /** A vote counts until its claim is released. A claim that has a majority runs and is not released. */
        private void vote(int voter, String claimId, long nowMs) {
            KeyVote vote = voters[voter].claim("key", claimId, nowMs);
            if (vote.outcome() == KeyVote.Outcome.GRANTED && !withdrawn.contains(claimId)) {
                votes.computeIfAbsent(claimId, id -> new HashSet<>()).add(voter);
            }
        }

        private void withdraw(String claimId, long nowMs) {
            if (votes.getOrDefault(claimId, Set.of()).size() < 2) {
                votes.remove(claimId);
                withdrawn.add(claimId);
                for (KeyReplica voter : voters) {
                    voter.release("key", claimId, nowMs);
                }
            }
        }

        /**
         * Votes that the lost voter gave before the loss are not counted together with votes of others after it: the
         * recovered disk is another voter in another epoch.
         */
        private void loseAndRecover(int lost) {
            votes.values().removeIf(granted -> granted.size() < 2 && granted.contains(lost));
            Map<String, KeyMerge> merges = new HashMap<>();
            for (int i = 0; i < voters.length; i++) {
                if (i != lost) {
                    voters[i]
                            .all()
                            .forEach(record -> merges.computeIfAbsent(record.key(), KeyMerge::new)
                                    .add(record));
                }
            }
            voters[lost] = new KeyReplica(LIMITS);
            voters[lost].restore(merges.values().stream().map(KeyMerge::result).toList());
        }
    }
}

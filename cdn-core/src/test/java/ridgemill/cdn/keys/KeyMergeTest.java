package ridgemill.cdn.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The merging of the records of several voters. */
final class KeyMergeTest {

    private static final int ROUNDS = 5_000;

    private final Random random = new Random(3);

    @Test
    void resultIsIndependentOfOrderDuplicatesAndGrouping() {
        for (int round = 0; round < ROUNDS; round++) {
            List<KeyRecord> records = new ArrayList<>();
            for (int i = 0; i <= random.nextInt(5); i++) {
                records.add(anyRecord());
            }
            KeyRecord outcome = KeyMerge.of(records);
            records.add(records.get(random.nextInt(records.size())));
            Collections.shuffle(records, random);
            assertSame(KeyMerge.of(records), outcome);
            assertSame(inGroups(records), outcome);
            assertSame(KeyMerge.of(List.of(outcome, outcome)), outcome);
        }
    }

    private KeyRecord inGroups(List<KeyRecord> records) {
        KeyMerge left = new KeyMerge("key");
        KeyMerge right = new KeyMerge("key");
        int split = random.nextInt(records.size() + 1);
        records.subList(0, split).forEach(left::add);
        records.subList(split, records.size()).forEach(right::add);
        left.addAll(right);
        return left.result();
    }

    @Test
    void finishedWinsAndTwoHoldersConflict() {
        assertThat(merge(held("a"), held("a")).state()).isEqualTo(KeyState.HELD);
        assertThat(merge(held("a"), held("b")).state()).isEqualTo(KeyState.CONFLICT);
        assertThat(merge(held("a"), released("a")).state()).isEqualTo(KeyState.RELEASED);
        assertThat(merge(held("a"), released("b")).claimId()).isEqualTo("a");
        assertThat(merge(held("a"), held("b"), released("a")).claimId()).isEqualTo("b");
        assertThat(merge(held("a"), held("b"), finished("b", 1)).state()).isEqualTo(KeyState.FINISHED);
    }

    private static KeyRecord merge(KeyRecord... records) {
        return KeyMerge.of(List.of(records));
    }

    private KeyRecord anyRecord() {
        String claimId = "c" + random.nextInt(3);
        return switch (KeyState.values()[random.nextInt(KeyState.values().length)]) {
            case HELD -> held(claimId);
            case RELEASED -> released(claimId);
            case FINISHED -> finished(claimId, random.nextInt(2));
            case CONFLICT -> new KeyRecord("key", KeyState.CONFLICT, "", null, random.nextInt(9));
        };
    }

    private static KeyRecord held(String claimId) {
        return new KeyRecord("key", KeyState.HELD, claimId, null, 1);
    }

    private static KeyRecord released(String claimId) {
        return new KeyRecord("key", KeyState.RELEASED, claimId, null, 2);
    }

    private static KeyRecord finished(String claimId, int answer) {
        return new KeyRecord("key", KeyState.FINISHED, claimId, new byte[] {(byte) answer}, 3);
    }

    private static void assertSame(KeyRecord actual, KeyRecord expected) {
        assertThat(actual).usingRecursiveComparison().isEqualTo(expected);
    }
}

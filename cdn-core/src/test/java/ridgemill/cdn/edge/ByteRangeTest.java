package ridgemill.cdn.edge;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ByteRangeTest {

    @Test
    void parsesClosedAndOpenEndedRanges() {
        assertThat(ByteRange.parse("bytes=0-0")).isEqualTo(new ByteRange(0, 0));
        assertThat(ByteRange.parse("bytes=5-19")).isEqualTo(new ByteRange(5, 19));
        assertThat(ByteRange.parse("bytes=5-")).isEqualTo(new ByteRange(5, Long.MAX_VALUE));
    }

    @Test
    void ignoresOtherHeaders() {
        String[] others = {
            null,
            "",
            "bytes",
            "bytes=",
            "bytes=-",
            "bytes=-5",
            "bytes=5-4",
            "bytes=1-2,4-5",
            "bytes=a-b",
            "bytes=+1-2",
            "bytes= 1-2",
            "items=1-2",
            "bytes=1234567890123456789-",
            "bytes=1-2-3"
        };
        for (String other : others) {
            assertThat(ByteRange.parse(other)).as("%s", other).isNull();
        }
    }

    @Test
    void rangeIsLimitedToObject() {
        ByteRange open = new ByteRange(5, Long.MAX_VALUE);
        assertThat(open.isSatisfiable(5)).isFalse();
        assertThat(open.isSatisfiable(6)).isTrue();
        assertThat(open.lastByteWithin(10)).isEqualTo(9);
        assertThat(new ByteRange(5, 7).lastByteWithin(10)).isEqualTo(7);
    }
}

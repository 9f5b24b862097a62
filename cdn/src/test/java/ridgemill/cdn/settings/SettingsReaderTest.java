package ridgemill.cdn.settings;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTest {

    private static final String GOOD = """
            nodeName = "edge-a-1"
            ipAddress = "10.1.0.35"
            zone = "a"
            internalPortRange = [7660,7675]
            seedAddresses = ["10.1.0.39:8146","10.2.0.31:8146"]
            firstStart = true
            heartbeatInterval = "1500ms"
            bounds = ["drainDeadline=2500ms","gracePeriod=6s","retryBudgetRatio=0.2","retryBudgetSlack=58"]
            somethingNew = 3
            [zones]
            a = "r1"
            [listenAddresses]
            frontAddress = "10.1.0.35:8144"
            [limits]
            fileDescriptors = 4100
            [toleratedLosses]
            machines = 1
            """;

    @Test
    void unknownFieldsAreIgnored() {
        Settings settings = SettingsReader.parse(GOOD, "f").get();
        assertThat(settings.seedHosts()).containsExactly("10.1.0.39", "10.2.0.31");
        assertThat(settings.storePort()).isEqualTo(7661);
        assertThat(settings.bounds().drainDeadlineMs()).isEqualTo(2500);
        assertThat(settings.bounds().retryBudgetSlack()).isEqualTo(58);
        assertThat(settings.regionOf("a")).isEqualTo("r1");
        assertThat(settings.dataDirectory()).isNull();
        assertThat(settings.readyAddress()).isNull();
    }

    @Test
    void boundsMayBeOneString() {
        String line = GOOD.replaceFirst("bounds = .*", "bounds = \"drainDeadline=3s,gracePeriod=4s\"");
        assertThat(SettingsReader.parse(line, "f").get().bounds().drainDeadlineMs())
                .isEqualTo(3000);
    }

    /** Each case makes one line invalid. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
                    nodeName = "edge-a-1" | nodeName = 3 | f: nodeName
                    [7660,7675] | [7660] | f: internalPortRange
                    [7660,7675] | [0,9] | f: internalPortRange
                    10.1.0.39:8146 | 10.1.0.39 | f: seedAddresses
                    "1500ms" | "1500" | f: heartbeatInterval
                    drainDeadline=2500ms | drainDeadline | f: bounds
                    10.1.0.35:8144 | 10.1.0.35:x | f: listenAddresses.frontAddress
                    zone = "a" | zone = | f: is no TOML
                    """)
    void anErrorIsOneLineThatNamesItsField(String part, String replacement, String place) {
        String invalid = GOOD.replace(part, replacement);
        assertThat(invalid).isNotEqualTo(GOOD);
        String error = SettingsReader.parse(invalid, "f").getLeft().describe();
        assertThat(error).startsWith(place).doesNotContain("\n");
    }
}

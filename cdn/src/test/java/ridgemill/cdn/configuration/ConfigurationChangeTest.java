package ridgemill.cdn.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ridgemill.cdn.config.ItemSet;

class ConfigurationChangeTest {

    private static final String GOOD = """
            {"upsert":{"routeTable":{
            "r-1":{"hostname":"a.example","pathPrefix":"/x/","routeKind":"cacheable","timeout":"1200ms",
            "targetLatency":"100ms","priorityLevel":2,"trafficSplit":[{"service":"s","weight":90},
            {"service":"t","weight":10}],"maxAttempts":2,"cacheTtl":"40s","version":7}},
            "serviceTable":{"s":{"healthPath":"/health","connectionCap":130,"protocol":"h1","tls":false,
            "deduplicates":false,"ratePerS":590.0,"version":7},"t":{"version":7}},
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms",
            "idleTimeout":"15000ms","version":7}},"remove":{"routeTable":[]}}
            """;

    private final ChangeReader reader = new ChangeReader();
    private final ChangeValidator validator = new ChangeValidator();

    private String fault(String change, ItemSet current) {
        return reader.read(change.getBytes(StandardCharsets.UTF_8))
                .fold(
                        InvalidChange::describe,
                        read -> validator
                                .check(read)
                                .map(InvalidChange::describe)
                                .getOrElse(() -> crossItemFault(read, current)));
    }

    /** Validates a change like the stores: only the versions that are newer than the current ones. */
    private static String crossItemFault(ConfigurationChange change, ItemSet current) {
        ConfigurationRules rules = new ConfigurationRules();
        rules.reset(current.all());
        return rules.validate(current.copy().mergeAll(change.items())).orElse(null);
    }

    private ItemSet after(String change) {
        ItemSet items = new ItemSet();
        items.mergeAll(
                reader.read(change.getBytes(StandardCharsets.UTF_8)).get().items());
        return items;
    }

    @Test
    void aValidChangeRoundTrips() {
        assertThat(fault(GOOD, new ItemSet())).isNull();
        String written = new String(reader.write(after(GOOD).all()), StandardCharsets.UTF_8);
        assertThat(written)
                .contains("\"ratePerS\":590.0")
                .contains("\"trafficSplit\":[{\"service\":\"s\",\"weight\":90}");
        assertThat(after("{\"upsert\":" + written + "}").digest())
                .isEqualTo(after(GOOD).digest());
    }

    /** Each case replaces one part of the valid change by an invalid one. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
                    "service":"t" | "service":"unknown" | unknown service
                    "weight":90 | "weight":-1 | minimum
                    "weight":90},{"service":"t","weight":10 | "weight":0},{"service":"t","weight":0 | add up to 0
                    "timeout":"1200ms" | "timeout":"601s" | over ten minutes
                    "pathPrefix":"/x/" | "pathPrefix":"x/" | pathPrefix
                    "pathPrefix":"/x/" | "pathPrefix":"/x" | pathPrefix
                    "timeout":"1200ms" | "timeout":"1200" | timeout
                    "routeKind":"cacheable" | "routeKind":"other" | routeKind
                    "cacheTtl":"40s","version":7 | "cacheTtl":"40s" | version
                    {"upsert" | {"upsert | no JSON
                    """)
    void anInvalidChangeIsRefusedWithTheLocationOfTheFault(String part, String replacement, String reason) {
        String one = GOOD.replace("\n", "");
        String invalid = one.replace(part, replacement);
        assertThat(invalid).isNotEqualTo(one);
        assertThat(fault(invalid, new ItemSet())).contains(reason);
    }

    @Test
    void aTruncatedChangeIsRefused() {
        for (int length = 0; length < GOOD.stripTrailing().length(); length += 7) {
            assertThat(fault(GOOD.substring(0, length), new ItemSet()))
                    .as("%d bytes", length)
                    .isNotNull();
        }
    }

    @Test
    void twoRoutesWithTheSameHostAndPrefixAreRefusedUnlessOneIsRemoved() {
        String second = """
                {"upsert":{"routeTable":{"r-2":{"hostname":"a.example","pathPrefix":"/x/","routeKind":"idempotent",
                "service":"s","version":8}}},"remove":{"routeTable":[%s]}}
                """;
        assertThat(fault(second.formatted(""), after(GOOD))).contains("same host and prefix");
        assertThat(fault(second.formatted("{\"name\":\"r-1\",\"version\":9}"), after(GOOD)))
                .isNull();
    }

    @Test
    void aServiceInUseCannotBeRemoved() {
        String drop = "{\"remove\":{\"serviceTable\":[{\"name\":\"s\",\"version\":9}]}}";
        assertThat(fault(drop, after(GOOD))).contains("unknown service s");
    }

    @Test
    void anOlderChangeIsValidAndHasNoEffect() {
        ItemSet current = after(GOOD.replace("\"version\":7", "\"version\":9"));
        long before = current.digest();
        assertThat(fault(GOOD, current)).isNull();
        current.mergeAll(
                reader.read(GOOD.getBytes(StandardCharsets.UTF_8)).get().items());
        assertThat(current.digest()).isEqualTo(before);
    }
}

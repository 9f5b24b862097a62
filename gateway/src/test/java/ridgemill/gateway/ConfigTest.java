package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A configuration is taken whole or refused in one plain line. */
class ConfigTest {

    private static final String ADDRESSES = "\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",";
    private static final String SETTINGS = "\"settings\":{\"services\":[{\"name\":\"r\",\"deadline_ms\":9}]}";

    @Test
    void theEnvironmentOverrides() throws Exception {
        Config config = Config.parse("{" + ADDRESSES + "\"seed\":\"ffffffffffffffff\"," + SETTINGS + "}",
                Map.of("BALANCER_LISTEN", "127.0.0.9:7", "BALANCER_NAME", "n9"));
        assertEquals("127.0.0.9", config.listen().getHostString());
        assertEquals(2, config.discovery().getPort());
        assertEquals("n9", config.name());
        assertEquals(-1, config.seed());
        assertEquals("r", config.settings().classes().get(0).name());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "{", "{" + ADDRESSES + "\"settings\":{}}", "{" + ADDRESSES + "\"x\":1}",
        "{" + SETTINGS + "}", "{\"listen\":\"host:1\",\"discovery\":\"127.0.0.1:2\"," + SETTINGS + "}",
        "{\"listen\":\"127.0.0.1:99999\",\"discovery\":\"127.0.0.1:2\"," + SETTINGS + "}",
        "{" + ADDRESSES + "\"known\":{\"seq\":1},"  + SETTINGS + "}",
        "{" + ADDRESSES + "\"seed\":\"no hex\"," + SETTINGS + "}"})
    void aBadOneIsRefusedInOneLine(String json) {
        ConfigException refused = assertThrows(ConfigException.class, () -> Config.parse(json, Map.of()));
        assertEquals(1, refused.getMessage().lines().count());
    }

    @Test
    void aMissingFileIsNamed() {
        ConfigException refused = assertThrows(ConfigException.class,
                () -> Config.fromEnvironment(Map.of("BALANCER_CONFIG", "/nowhere/config.json")));
        assertTrue(refused.getMessage().contains("/nowhere/config.json"));
    }
}

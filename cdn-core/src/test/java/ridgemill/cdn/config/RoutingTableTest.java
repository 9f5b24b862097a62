package ridgemill.cdn.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class RoutingTableTest {

    private static Route route(String name, String host, String prefix, long version) {
        List<Destination> destinations = List.of(new Destination("s", 1));
        return new Route(name, host, prefix, RouteKind.IDEMPOTENT, 1000, 100, 1, destinations, 1, 0, version);
    }

    private static final RoutingTable TABLE = new RoutingTable(
            List.of(
                    route("root", "a.example", "/", 1),
                    route("short", "a.example", "/x/", 1),
                    route("long", "a.example", "/x/y/", 1)),
            List.of(),
            Limits.DEFAULT);

    @Test
    void longestPrefixWins() {
        assertThat(TABLE.match("a.example", "/x/y/z").name()).isEqualTo("long");
        assertThat(TABLE.match("a.example", "/x/yy").name()).isEqualTo("short");
        assertThat(TABLE.match("a.example", "/x").name()).isEqualTo("root");
        assertThat(TABLE.match("a.example", "/xx/y/").name()).isEqualTo("root");
        assertThat(TABLE.match("b.example", "/x/")).isNull();
    }

    @Test
    void higherVersionWinsForSameHostAndPrefix() {
        RoutingTable table = new RoutingTable(
                List.of(route("old", "a.example", "/p/", 3), route("new", "a.example", "/p/", 4)),
                List.of(),
                Limits.DEFAULT);
        assertThat(table.match("a.example", "/p/1").name()).isEqualTo("new");
    }

    @Test
    void requestsAreSplitByWeight() {
        Route split = new Route(
                "r",
                "a.example",
                "/",
                RouteKind.IDEMPOTENT,
                1000,
                100,
                1,
                List.of(new Destination("a", 3), new Destination("none", 0), new Destination("b", 1)),
                1,
                0,
                1);
        assertThat(split.destination(0)).isEqualTo("a");
        assertThat(split.destination(0.74)).isEqualTo("a");
        assertThat(split.destination(0.76)).isEqualTo("b");
        assertThat(split.destination(0.999999)).isEqualTo("b");
    }
}

package ridgemill.gateway;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import ridgemill.gateway.net.SocketKind;

/** The same outcomes where the JDK's selectors serve, which is wherever epoll can't be had. */
class OutcomeOverNioTest extends OutcomeTest {

    @BeforeAll
    static void choose() {
        System.setProperty(SocketKind.PROPERTY, "nio");
    }

    @AfterAll
    static void forget() {
        System.clearProperty(SocketKind.PROPERTY);
    }
}

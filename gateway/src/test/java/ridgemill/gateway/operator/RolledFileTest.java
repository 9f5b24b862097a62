package ridgemill.gateway.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import ridgemill.policy.Router.DeduplicationScope;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.PlatformLimits;
import ridgemill.policy.Router.PlatformRules;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.policy.Router.Settings;
import ridgemill.policy.Router.WeightMode;
import ridgemill.serviceclass.PlatformConstraints;

/** What operators want rolled, and the way back. */
class RolledFileTest {

    private static final PlatformConstraints PLATFORM = PlatformConstraints.of(new Settings(0, 1, "a", 1,
            List.of(new ServiceClass("read", 500, 0, 1500, 1, 0.25, Effect.SAFE, DeduplicationScope.ALL, 0, false)), List.of(), 1, false,
            new PlatformLimits(4, true, true, false, true, 1000, false, 100), new PlatformRules(0, 1, 0, 1, 1000, 0, 0), false, WeightMode.NONE, null));
    private static final String OWN = "[control]\nsocket = \"/run/p0.sock\"\n";

    @TempDir
    private Path directory;

    private RolledFile rolled(String text) throws Exception {
        Path file = Files.writeString(directory.resolve("p0.toml"), text);
        return new RolledFile(file.toString(), PLATFORM, Runnable::run, (next, may, cause) -> { });
    }

    /** Operators write the next file where the one was that holds, and have it rolled: the way back is what holds. */
    @Test
    void theWayBackIsWhatIsActedUnderAndNotWhatTheFileSaysNow() throws Exception {
        String next = "version = 4\n[process]\nidle = \"3s\"\n";
        RolledFile file = rolled(next + OWN);
        RolledFile.Wanted wanted = file.wanted(directory.resolve("p0.toml").toString(), "version = 2\n[process]\nidle = \"7s\"\n");
        assertEquals(next, wanted.targetText());
        assertEquals(4, wanted.target().number());
        assertEquals("version = 5\n[process]\nidle = \"7s\"\n", wanted.backText());
        assertEquals(5, wanted.back().number());
    }

    @Test
    void whatCantBeRolledIsOneProblem() throws Exception {
        RolledFile file = rolled("version = 2\n" + OWN);
        Path bad = Files.writeString(directory.resolve("bad.toml"), "version = 4\n[nonsense]\n");
        assertTrue(refusal(file, bad.toString(), "version = 2\n").contains("unknown-key"));
        assertTrue(refusal(file, "/nowhere/next.toml", "version = 2\n").contains("cannot be read"));
        Path good = Files.writeString(directory.resolve("good.toml"), "version = 4\n");
        assertTrue(refusal(file, good.toString(), "# no number\n").contains("has no line \"version = N\""));
        Path large = Files.writeString(directory.resolve("large.toml"), "version = 4\n" + "# much\n".repeat(10_000));
        assertTrue(refusal(file, large.toString(), "version = 2\n").contains("too-large"));
    }

    private static String refusal(RolledFile file, String path, String acting) {
        OperatorFileException refused = assertThrows(OperatorFileException.class, () -> file.wanted(path, acting));
        assertEquals(1, refused.problems().size());
        return refused.getMessage();
    }

    @Test
    void whatIsTakenIsInTheFileForARestartBesideWhatIsItsOwn() throws Exception {
        RolledFile file = rolled("version = 2\n" + OWN);
        assertEquals("", file.apply("version = 4\n", () -> true, "roll").toCompletableFuture().join());
        assertEquals("version = 4\n\n" + OWN, Files.readString(directory.resolve("p0.toml")));
    }
}

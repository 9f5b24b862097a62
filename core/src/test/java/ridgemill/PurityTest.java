package ridgemill;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ridgemill.checks.Purity;

/** The core module uses no I/O, threads or clocks, and the policy package does not depend on the core package. */
class PurityTest {

    /** Classes that violate the rule, each in a different way. */
    @SuppressWarnings("unused")
    static final class Violations {
        static final class Clock {
            long now() {
                return System.nanoTime();
            }
        }

        static final class WallClock {
            Object now() {
                return java.time.Instant.now();
            }
        }

        static final class File {
            String read() throws IOException {
                return Files.readString(Path.of("x"));
            }
        }

        static final class Network {
            Object open() throws IOException {
                return new Socket("127.0.0.1", 1);
            }
        }

        static final class Threads {
            void run() {
                new Thread(() -> { }).start();
            }
        }

        static final class Locks {
            Object lock() {
                return new java.util.concurrent.locks.ReentrantLock();
            }
        }
    }

    @Test
    void coreUsesNoIoThreadsOrClocks() {
        JavaClasses core = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("ridgemill");
        assertTrue(core.size() > 20, "classes of the module not found");
        Purity.NO_IO_AND_NO_THREADS.check(core);
    }

    @Test
    void policyDoesNotDependOnCore() {
        noClasses().that().resideInAPackage("ridgemill.policy..").should().dependOnClassesThat()
                .resideInAPackage("ridgemill.core..").check(new ClassFileImporter()
                        .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("ridgemill"));
    }

    @ParameterizedTest
    @ValueSource(classes = {Violations.Clock.class, Violations.WallClock.class, Violations.File.class,
        Violations.Network.class, Violations.Threads.class, Violations.Locks.class})
    void ruleDetectsViolations(Class<?> violation) {
        assertTrue(Purity.NO_IO_AND_NO_THREADS.evaluate(new ClassFileImporter().importClasses(violation))
                .hasViolation());
    }
}

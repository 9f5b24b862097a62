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

/** The core does no I/O, starts and knows no threads and reads no clock; the decisions do not know the joint. */
class PurityTest {

    /** What is wrong, on purpose, each in its own way. */
    @SuppressWarnings("unused")
    static final class Wrong {
        static final class Clock {
            long now() {
                return System.nanoTime();
            }
        }

        static final class Wall {
            Object now() {
                return java.time.Instant.now();
            }
        }

        static final class File {
            String read() throws IOException {
                return Files.readString(Path.of("x"));
            }
        }

        static final class Net {
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
    void coreIsFreeOfIoThreadsAndClocks() {
        JavaClasses core = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("ridgemill");
        assertTrue(core.size() > 20, "the classes were not found");
        Purity.NO_IO_AND_NO_THREADS.check(core);
    }

    @Test
    void theDecisionsDoNotKnowTheJoint() {
        noClasses().that().resideInAPackage("ridgemill.policy..").should().dependOnClassesThat()
                .resideInAPackage("ridgemill.core..").check(new ClassFileImporter()
                        .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("ridgemill"));
    }

    @ParameterizedTest
    @ValueSource(classes = {Wrong.Clock.class, Wrong.Wall.class, Wrong.File.class, Wrong.Net.class, Wrong.Threads.class,
        Wrong.Locks.class})
    void theCheckSeesWhatItForbids(Class<?> wrong) {
        assertTrue(Purity.NO_IO_AND_NO_THREADS.evaluate(new ClassFileImporter().importClasses(wrong)).hasViolation());
    }
}

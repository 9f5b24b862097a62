package ridgemill;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The core does no I/O, starts and knows no threads and reads no clock; the decisions do not know the joint. */
class PurityTest {

    private static final ArchRule NO_IO_AND_NO_THREADS = noClasses().should().dependOnClassesThat(
            new DescribedPredicate<JavaClass>("do I/O, run threads or tell the time") {
                @Override
                public boolean test(JavaClass c) {
                    String name = c.getName();
                    return name.startsWith("java.io.") && !name.equals("java.io.Serializable")
                            || name.startsWith("java.net.") || name.startsWith("java.nio.channels.")
                            || name.startsWith("java.nio.file.") || name.startsWith("java.util.concurrent.")
                            || name.startsWith("java.time.") || name.startsWith("io.netty.")
                            || name.equals("java.util.Timer") || name.equals("java.util.Date")
                            || name.equals("java.lang.Thread") || name.equals("java.lang.ThreadLocal")
                            || name.equals("java.lang.Process") || name.equals("java.lang.ProcessBuilder")
                            || name.equals("java.lang.Runtime") || name.equals("java.lang.System");
                }
            });

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
        NO_IO_AND_NO_THREADS.check(core);
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
        assertTrue(NO_IO_AND_NO_THREADS.evaluate(new ClassFileImporter().importClasses(wrong)).hasViolation());
    }
}

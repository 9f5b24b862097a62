package ridgemill.cdn;

import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.ridgemill.checks.Purity;

/** The decisions of the content delivery network do no I/O, and their packages have no cyclic dependencies. */
class CoreLayersTest {

    private static JavaClasses classes;

    @BeforeAll
    static void importClasses() {
        classes = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("ridgemill.cdn");
        assertThat(classes).as("the classes are found").hasSizeGreaterThan(30);
    }

    @Test
    void decisionsUseNoIoThreadsOrClocks() {
        Purity.NO_IO_AND_NO_THREADS.check(classes);
    }

    @Test
    void packagesHaveNoCyclicDependencies() {
        slices().matching("ridgemill.cdn.(**)").should().beFreeOfCycles().check(classes);
    }
}

package ridgemill.cdn;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that the programs share only messages and common packages and do not depend on each other's classes. */
class LayersTest {

    private static final String[] PROGRAMS = {
        "ridgemill.cdn.proxy..", "ridgemill.cdn.registry..", "ridgemill.cdn.store..", "ridgemill.cdn.app.."
    };

    private static JavaClasses classes;

    @BeforeAll
    static void importClasses() {
        classes = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("ridgemill.cdn");
    }

    @ParameterizedTest
    @ValueSource(strings = {"proxy", "registry", "store"})
    void programsDoNotDependOnEachOther(String program) {
        String own = "ridgemill.cdn." + program + "..";
        assertThat(classes.stream().filter(type -> type.getPackageName().startsWith("ridgemill.cdn." + program)))
                .as("the classes are found")
                .hasSizeGreaterThan(5);
        for (String other : PROGRAMS) {
            if (!other.equals(own)) {
                noClasses()
                        .that()
                        .resideInAPackage(own)
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage(other)
                        .check(classes);
            }
        }
    }

    @Test
    void sharedPackagesDoNotDependOnPrograms() {
        noClasses()
                .that()
                .resideOutsideOfPackages(PROGRAMS)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(PROGRAMS)
                .check(classes);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("ridgemill.cdn.(**)").should().beFreeOfCycles().check(classes);
    }
}

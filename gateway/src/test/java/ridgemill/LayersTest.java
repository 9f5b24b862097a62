package ridgemill;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Dependencies go one way: fronts and backs to the core, the core to the decisions, no front to another. */
class LayersTest {

    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("ridgemill");

    @Test
    void noFrontKnowsAnother() {
        slices().matching("ridgemill.gateway.front.(*)..").should().notDependOnEachOther().check(ALL);
    }

    @Test
    void noBackKnowsAnother() {
        slices().matching("ridgemill.gateway.back.(*)..").should().notDependOnEachOther().check(ALL);
    }

    @Test
    void frontsAndBacksMeetInTheCoreAlone() {
        noClasses().that().resideInAPackage("ridgemill.gateway.front..").should().dependOnClassesThat()
                .resideInAPackage("ridgemill.gateway.back..").check(ALL);
        noClasses().that().resideInAPackage("ridgemill.gateway.back..").should().dependOnClassesThat()
                .resideInAPackage("ridgemill.gateway.front..").check(ALL);
    }

    @Test
    void linksBetweenHallsKnowNoFrontAndNoBack() {
        noClasses().that().resideInAPackage("ridgemill.gateway.datacenter..").should().dependOnClassesThat()
                .resideInAnyPackage("ridgemill.gateway.front..", "ridgemill.gateway.back..").check(ALL);
        noClasses().that().resideInAnyPackage("ridgemill.gateway.front..", "ridgemill.gateway.back..").should()
                .dependOnClassesThat().resideInAPackage("ridgemill.gateway.datacenter..").check(ALL);
    }

    @Test
    void theCommonPartsOfFrontsAndBacksSpeakNoProtocol() {
        noClasses().that().resideInAnyPackage("ridgemill.gateway.front", "ridgemill.gateway.back", "ridgemill.core..",
                "ridgemill.policy..").should().dependOnClassesThat().resideInAPackage("io.netty.handler.codec..")
                .check(ALL);
    }
}

package org.ridgemill.checks;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.lang.ArchRule;
import java.util.List;
import java.util.Set;

/** The rule that modules of decisions keep: they do no I/O, start and know no threads, take no locks and read no clock. */
public final class Purity {

    private static final List<String> FORBIDDEN_PACKAGES = List.of(
            "java.io.",
            "java.net.",
            "java.nio.channels.",
            "java.nio.file.",
            "java.util.concurrent.",
            "java.time.",
            "io.netty.");

    private static final Set<String> FORBIDDEN_CLASSES = Set.of(
            "java.util.Timer",
            "java.util.Date",
            "java.lang.Thread",
            "java.lang.ThreadLocal",
            "java.lang.Process",
            "java.lang.ProcessBuilder",
            "java.lang.Runtime",
            "java.lang.System");

    /** A class of these packages that does nothing of the kind. */
    private static final String ALLOWED_CLASS = "java.io.Serializable";

    /** The rule, to be checked on the classes of a module. */
    public static final ArchRule NO_IO_AND_NO_THREADS = noClasses()
            .should()
            .dependOnClassesThat(
                    DescribedPredicate.describe("do I/O, run threads or tell the time", Purity::isForbidden));

    private Purity() {}

    private static boolean isForbidden(JavaClass type) {
        String name = type.getName();
        return FORBIDDEN_CLASSES.contains(name)
                || !name.equals(ALLOWED_CLASS) && FORBIDDEN_PACKAGES.stream().anyMatch(name::startsWith);
    }
}

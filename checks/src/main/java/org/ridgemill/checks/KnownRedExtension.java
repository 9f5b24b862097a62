package org.ridgemill.checks;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;
import org.opentest4j.TestAbortedException;

/**
 * Runs listed tests like all others, but reports the failure of one as passed over. Only what the test's own method throws
 * counts: a failure of what is set up before it or taken down after it stays a failure. Each run's end is written down for
 * {@link KnownRedReport}.
 */
public final class KnownRedExtension implements TestExecutionExceptionHandler, AfterTestExecutionCallback {

    private final String module;
    private final List<KnownRed.Entry> listed;
    private final KnownRedRecords records;

    /** For the module whose tests run here; outside the build, where that is not known, nothing is passed over. */
    public KnownRedExtension() throws IOException {
        this(System.getProperty("basedir"));
    }

    private KnownRedExtension(String moduleDirectory) throws IOException {
        this(moduleDirectory == null ? null : Path.of(moduleDirectory).toAbsolutePath());
    }

    KnownRedExtension(Path moduleDirectory) throws IOException {
        if (moduleDirectory == null) {
            module = "";
            listed = List.of();
            records = null;
        } else {
            module = moduleDirectory.getFileName().toString();
            listed = KnownRed.read(moduleDirectory.getParent());
            records = new KnownRedRecords(moduleDirectory.getParent());
        }
    }

    @Override
    public void handleTestExecutionException(ExtensionContext context, Throwable failure) throws Throwable {
        Optional<KnownRed.Entry> entry = entry(context);
        if (entry.isEmpty() || failure instanceof TestAbortedException) {
            throw failure;
        }
        records.add(entry.get().id(), KnownRedRecords.End.RED);
        throw new TestAbortedException("known red: " + entry.get().cause(), failure);
    }

    @Override
    public void afterTestExecution(ExtensionContext context) throws IOException {
        Optional<KnownRed.Entry> entry = entry(context);
        if (entry.isPresent() && context.getExecutionException().isEmpty()) {
            records.add(entry.get().id(), KnownRedRecords.End.GREEN);
        }
    }

    private Optional<KnownRed.Entry> entry(ExtensionContext context) {
        String test = context.getRequiredTestClass().getName()
                + '.'
                + context.getRequiredTestMethod().getName();
        return listed.stream()
                .filter(entry -> entry.module().equals(module) && entry.test().equals(test))
                .findFirst();
    }
}

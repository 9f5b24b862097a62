package ridgemill.gateway.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import ridgemill.gateway.audit.AuditService;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.rollout.RolloutText;
import ridgemill.gateway.rollout.RolloutService;
import ridgemill.rollout.FileFingerprint.FileVersion;
import ridgemill.rollout.FileFingerprint;
import ridgemill.serviceclass.PlatformConstraints;

/**
 * A proxy's operator file as rolls change it: what comes from others is looked at beside what is this proxy's own, and is written to the
 * file once it holds, so that a restart comes back with it. Used on the thread where reloads take turns.
 */
final class RolledFile implements RolloutService.FileHandler {

    /** Has a file take effect; throws where it has a problem, or came too late. */
    interface Taker {

        void take(OperatorConfig next, BooleanSupplier may, String cause) throws OperatorFileException;
    }

    /** What operators ask to be rolled, and the way back, both found good. */
    record Wanted(FileFingerprint target, String targetText, FileFingerprint back, String backText) { }

    private static final int MOST_PROBLEM = 64;

    private final String file;
    private final PlatformConstraints platform;
    private final Executor turns;
    private final Taker taker;

    RolledFile(String file, PlatformConstraints platform, Executor turns, Taker taker) {
        this.file = file;
        this.platform = platform;
        this.turns = turns;
        this.taker = taker;
    }

    /** What this proxy's file says that is the same for all; throws where it can't be read. */
    String shared() throws IOException {
        return RolloutText.sharedPart(Files.readString(Path.of(file)));
    }

    private String own() throws IOException {
        return RolloutText.localPart(Files.readString(Path.of(file)));
    }

    private OperatorConfig parse(String name, String shared) throws OperatorFileException, IOException {
        return OperatorFile.parse(name, RolloutText.join(shared, own()), platform);
    }

    static FileFingerprint stamp(OperatorConfig config, String shared) {
        return FileFingerprint.of((int) config.version(), AuditService.digestBits(config.digest()), shared);
    }

    @Override
    public CompletionStage<RolloutService.Validation> validate(String shared) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                OperatorConfig config = parse("rolled", shared);
                return new RolloutService.Validation(new FileVersion((int) config.version(), AuditService.digestBits(config.digest())), "");
            } catch (OperatorFileException e) {
                return new RolloutService.Validation(new FileVersion(0, 0), brief(e));
            } catch (IOException e) {
                return new RolloutService.Validation(new FileVersion(0, 0), "its own file can't be read");
            }
        }, turns);
    }

    /** The first problem in few words, as it goes into a datagram; all are in the log of the proxy that has them. */
    private static String brief(OperatorFileException e) {
        e.problems().forEach(p -> Log.info("a text that was rolled is not taken: " + p));
        Problem first = e.problems().get(0);
        String text = "line " + first.line() + " " + first.rule() + ": " + first.reason();
        return text.substring(0, Math.min(MOST_PROBLEM, text.length()));
    }

    @Override
    public CompletionStage<String> apply(String shared, BooleanSupplier may, String cause) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                String whole = RolloutText.join(shared, own());
                taker.take(OperatorFile.parse("rolled", whole, platform), may, cause);
                write(whole);
                return "";
            } catch (OperatorFileException e) {
                return brief(e);
            } catch (IOException e) {
                return "its own file can't be read";
            }
        }, turns);
    }

    /** In one step: a reader has the one file or the other. A proxy whose file can't be written acts all the same, until it is started again. */
    private void write(String whole) {
        try {
            Path to = Path.of(file).toAbsolutePath();
            Path beside = Files.createTempFile(to.getParent(), to.getFileName().toString(), ".rolled");
            Files.writeString(beside, whole);
            Files.move(beside, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            Log.info("the operator file could not be written, a restart comes back with the old one: " + e);
        }
    }

    /**
     * Reads what is to be rolled, and makes the way back; throws with every problem.
     *
     * @param acting what this proxy acts under, which its file may say no more: operators may have written the next one there
     */
    Wanted wanted(String path, String acting) throws OperatorFileException {
        try {
            String shared = RolloutText.sharedPart(Files.readString(Path.of(path)));
            if (shared.length() > FileFingerprint.MAX_BYTES / 2) {
                throw refused(path, "too-large", "has more than " + FileFingerprint.MAX_BYTES / 2 + " characters", "shorten it");
            }
            OperatorConfig target = parse(path, shared);
            String back = RolloutText.withVersion(acting, (int) target.version() + 1);
            return new Wanted(stamp(target, shared), shared, stamp(parse(file, back), back), back);
        } catch (IOException e) {
            throw refused(path, "unreadable", "cannot be read", "name a file that is there");
        } catch (IllegalArgumentException e) {
            throw refused(file, "no-version", e.getMessage(), "write the file's number on a line of its own, before its first section");
        }
    }

    static OperatorFileException refused(String file, String rule, String reason, String wayOut) {
        return new OperatorFileException(List.of(new Problem(file, 0, 0, rule, reason, wayOut)));
    }
}

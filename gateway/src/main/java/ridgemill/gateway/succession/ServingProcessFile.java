package ridgemill.gateway.succession;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Optional;
import ridgemill.gateway.net.Log;

/**
 * A file that says which process serves at an address: the last one that became ready there. It is put in place whole; one that
 * can't be read or written, or makes no sense, says nothing, and each process then acts as if it were alone.
 */
public final class ServingProcessFile {

    /** Longer than any process id with its line. */
    private static final int MAX_BYTES = 32;

    private final Path file;

    private ServingProcessFile(Path file) {
        this.file = file;
    }

    /** The mark of an address, in the process's temporary directory. */
    public static ServingProcessFile of(InetSocketAddress address) {
        return in(sharedDirectory(), address);
    }

    /** The process's temporary directory, which the processes of one proxy share. */
    public static Path sharedDirectory() {
        String directory = System.getenv("TMPDIR");
        return Path.of(directory == null || directory.isEmpty() ? System.getProperty("java.io.tmpdir") : directory);
    }

    /** The mark of an address in a directory. */
    public static ServingProcessFile in(Path directory, InetSocketAddress address) {
        return new ServingProcessFile(directory.resolve("ridgemill-" + address.getAddress().getHostAddress().replace(':', '_') + "-"
                + address.getPort() + ".serving"));
    }

    /** This process serves from now on. */
    public void recordThisProcess() {
        Path next = file.resolveSibling(file.getFileName() + "." + ProcessHandle.current().pid());
        try {
            Files.writeString(next, ProcessHandle.current().pid() + "\n");
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            Log.info("no mark of who serves, an upgrade will be taken for a restart: " + e);
            delete(next);
        }
    }

    private static void delete(Path file) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            Log.info("cannot remove " + file + ": " + e.getMessage());
        }
    }

    /** Another process that lives and was the last to serve; empty where there is none. */
    public Optional<ProcessHandle> otherProcess() {
        try (var in = Files.newInputStream(file)) {
            String text = new String(in.readNBytes(MAX_BYTES), StandardCharsets.US_ASCII).trim();
            return ProcessHandle.of(Long.parseLong(text)).filter(p -> p.pid() != ProcessHandle.current().pid() && p.isAlive());
        } catch (NoSuchFileException e) {
            return Optional.empty();
        } catch (IOException | NumberFormatException e) {
            Log.info("the mark of who serves can't be read: " + e);
            return Optional.empty();
        }
    }
}

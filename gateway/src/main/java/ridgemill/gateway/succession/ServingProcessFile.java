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
 * A state file with the id of the process that serves at an address: the last one that became ready there. The file is
 * replaced atomically. If it cannot be read or written, or its content is invalid, each process behaves as if it were
 * the only one.
 */
public final class ServingProcessFile {

    /** Longer than any process id with its line end. */
    private static final int MAX_BYTES = 32;

    private final Path file;

    private ServingProcessFile(Path file) {
        this.file = file;
    }

    /** Returns the file for an address in the shared directory. */
    public static ServingProcessFile of(InetSocketAddress address) {
        return in(sharedDirectory(), address);
    }

    /** Returns the temporary directory, which the processes of one proxy share. */
    public static Path sharedDirectory() {
        String directory = System.getenv("TMPDIR");
        return Path.of(directory == null || directory.isEmpty() ? System.getProperty("java.io.tmpdir") : directory);
    }

    /** Returns the file for an address in a directory. */
    public static ServingProcessFile in(Path directory, InetSocketAddress address) {
        return new ServingProcessFile(directory.resolve("ridgemill-" + address.getAddress().getHostAddress()
                .replace(':', '_') + "-"
                + address.getPort() + ".serving"));
    }

    /** Records that this process serves from now on. */
    public void recordThisProcess() {
        Path temporary = file.resolveSibling(file.getFileName() + "." + ProcessHandle.current().pid());
        try {
            Files.writeString(temporary, ProcessHandle.current().pid() + "\n");
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            Log.info("cannot write the serving process file, an upgrade will be treated as a restart: " + e);
            delete(temporary);
        }
    }

    private static void delete(Path file) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            Log.info("cannot remove " + file + ": " + e.getMessage());
        }
    }

    /** Returns the process in the file if it is alive and not this one; empty otherwise. */
    public Optional<ProcessHandle> otherProcess() {
        try (var in = Files.newInputStream(file)) {
            String text = new String(in.readNBytes(MAX_BYTES), StandardCharsets.US_ASCII).trim();
            return ProcessHandle.of(Long.parseLong(text)).filter(p -> p.pid() != ProcessHandle.current().pid()
                    && p.isAlive());
        } catch (NoSuchFileException e) {
            return Optional.empty();
        } catch (IOException | NumberFormatException e) {
            Log.info("cannot read the serving process file: " + e);
            return Optional.empty();
        }
    }
}

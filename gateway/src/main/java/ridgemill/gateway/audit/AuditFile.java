package ridgemill.gateway.audit;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import ridgemill.gateway.net.Log;

/**
 * Appends whole lines to a file, on a thread of its own: a disk that is slow holds up no request. Each batch is written by one call behind
 * what the file has, so several processes may write to one file; what a process that was killed left of a line is ended first. A file that
 * is full goes aside as {@code NAME.1}, and what was there by that name goes. What can't be written is lost, and counted.
 */
final class AuditFile implements AutoCloseable {

    /** More batches than this wait for no disk. */
    private static final int MAX_QUEUED_BATCHES = 256;
    private static final long CLOSE_TIMEOUT_S = 2;

    private final Path file;
    private final long maxBytes;
    private final ThreadPoolExecutor writer;
    private final AtomicLong lostLines = new AtomicLong();
    private boolean failing;

    AuditFile(Path file, long mostBytes) {
        this.file = file;
        this.maxBytes = mostBytes;
        this.writer = new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>(MAX_QUEUED_BATCHES), task -> {
            Thread thread = new Thread(task, "audit-file");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Has lines written, or lost where too many wait; returns at once. */
    void append(List<String> lines) {
        try {
            writer.execute(() -> write(lines));
        } catch (RejectedExecutionException e) {
            lostLines.addAndGet(lines.size());
        }
    }

    /** Lines that could not be written. */
    long lostLines() {
        return lostLines.get();
    }

    private void write(List<String> lines) {
        ByteBuffer bytes = ByteBuffer.wrap((String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8));
        try {
            if (Files.exists(file) && Files.size(file) + bytes.remaining() > maxBytes) {
                Files.move(file, file.resolveSibling(file.getFileName() + ".1"), StandardCopyOption.REPLACE_EXISTING);
            }
            boolean torn = endsWithPartialLine();
            // Opened anew each time: another process may have put the file aside.
            try (FileChannel to = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND)) {
                if (torn) {
                    to.write(ByteBuffer.wrap(new byte[] {'\n'}));
                }
                while (bytes.hasRemaining()) {
                    to.write(bytes);
                }
                to.force(false);
            }
            if (failing) {
                Log.info("audit: " + file + " can be written again; " + lostLines + " lines are lost");
            }
            failing = false;
        } catch (IOException e) {
            lostLines.addAndGet(lines.size());
            if (!failing) {
                Log.info("audit: " + file + " can't be written: " + e);
            }
            failing = true;
        }
    }

    private boolean endsWithPartialLine() throws IOException {
        if (!Files.exists(file) || Files.size(file) == 0) {
            return false;
        }
        try (FileChannel from = FileChannel.open(file, StandardOpenOption.READ)) {
            ByteBuffer last = ByteBuffer.allocate(1);
            return from.read(last, from.size() - 1) == 1 && last.get(0) != '\n';
        }
    }

    /** Waits until what was handed over is written, for two seconds at most. */
    @Override
    public void close() throws InterruptedException {
        writer.shutdown();
        if (!writer.awaitTermination(CLOSE_TIMEOUT_S, TimeUnit.SECONDS)) {
            Log.info("audit: " + file + " was not written to its end: its disk is slow");
        }
    }
}

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
 * Appends whole lines to a file on a separate thread, so that a slow disk delays no request. Each batch is appended
 * with one write call, so that several processes may write to the same file. If a killed process left a partial line,
 * the line is ended first. A full file is renamed to {@code NAME.1}, which replaces an older file of that name. Lines
 * that cannot be written are dropped and counted.
 */
final class AuditFile implements AutoCloseable {

    /** Batches that may wait for a slow disk; further ones are dropped. */
    private static final int MAX_QUEUED_BATCHES = 256;
    private static final long CLOSE_TIMEOUT_S = 2;

    private final Path file;
    private final long maxBytes;
    private final ThreadPoolExecutor writer;
    private final AtomicLong lostLines = new AtomicLong();
    private boolean failing;

    AuditFile(Path file, long maxBytes) {
        this.file = file;
        this.maxBytes = maxBytes;
        this.writer = new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS,
                new LinkedBlockingQueue<>(MAX_QUEUED_BATCHES), task -> {
            Thread thread = new Thread(task, "audit-file");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Queues the lines for writing, or drops them if the queue is full; does not block. */
    void append(List<String> lines) {
        try {
            writer.execute(() -> write(lines));
        } catch (RejectedExecutionException e) {
            lostLines.addAndGet(lines.size());
        }
    }

    /** Returns the number of lines that could not be written. */
    long lostLines() {
        return lostLines.get();
    }

    private void write(List<String> lines) {
        ByteBuffer bytes = ByteBuffer.wrap((String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8));
        try {
            if (Files.exists(file) && Files.size(file) + bytes.remaining() > maxBytes) {
                Files.move(file, file.resolveSibling(file.getFileName() + ".1"), StandardCopyOption.REPLACE_EXISTING);
            }
            boolean partialLine = endsWithPartialLine();
            // Opened for each batch, because another process may have renamed the file.
            try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                    StandardOpenOption.APPEND)) {
                if (partialLine) {
                    channel.write(ByteBuffer.wrap(new byte[] {'\n'}));
                }
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
                channel.force(false);
            }
            if (failing) {
                Log.info("audit: " + file + " is writable again; " + lostLines + " lines were lost");
            }
            failing = false;
        } catch (IOException e) {
            lostLines.addAndGet(lines.size());
            if (!failing) {
                Log.info("audit: " + file + " cannot be written: " + e);
            }
            failing = true;
        }
    }

    private boolean endsWithPartialLine() throws IOException {
        if (!Files.exists(file) || Files.size(file) == 0) {
            return false;
        }
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
            ByteBuffer last = ByteBuffer.allocate(1);
            return channel.read(last, channel.size() - 1) == 1 && last.get(0) != '\n';
        }
    }

    /** Waits until the queued lines are written, for at most two seconds. */
    @Override
    public void close() throws InterruptedException {
        writer.shutdown();
        if (!writer.awaitTermination(CLOSE_TIMEOUT_S, TimeUnit.SECONDS)) {
            Log.info("audit: " + file
                    + " is incomplete: the disk is too slow to write the queued lines before the process ends");
        }
    }
}

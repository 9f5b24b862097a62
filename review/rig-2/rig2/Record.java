package rig2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the milliseconds since its beginning. */
public final class Record implements AutoCloseable {

    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    public Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    public synchronized void add(String format, Object... values) {
        long ms = (System.nanoTime() - startNanos) / 1_000_000;
        String line = String.format(Locale.ROOT, "%7d ms  ", ms) + String.format(Locale.ROOT, format, values);
        out.println(line);
        System.out.println(line);
    }

    @Override
    public void close() {
        out.close();
    }
}

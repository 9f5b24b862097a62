package ridgemill.benchlink;

import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/** Joins the module to the bench over standard input and output. */
public final class Main {

    private static final int BUFFER = 1 << 16;

    private Main() { }

    /** Serves the wire until standard input ends; a malformed line ends it with exit code 2. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar ridgemill.jar benchlink");
            System.exit(64);
        }
        var in = new BufferedReader(new InputStreamReader(new FileInputStream(FileDescriptor.in),
                StandardCharsets.UTF_8), BUFFER);
        var out = new OutputStreamWriter(new FileOutputStream(FileDescriptor.out), StandardCharsets.UTF_8);
        try {
            new Link(in, out).run();
        } catch (WireException e) {
            System.err.println("ridgemill: " + e.getMessage());
            System.exit(2);
        }
    }
}

package ridgemill.cdn.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.zip.CRC32;

/**
 * An instance that reads bodies of any size without holding them. Its response states the length and the checksum of
 * the body, followed by as much padding as the request asks for.
 */
final class LargeBodyInstance implements AutoCloseable {

    /** The request header that states the number of padding bytes of the response. */
    static final String PADDING = "X-Padding";

    private static final int BUFFER_BYTES = 64 * 1_024;
    private static final int BACKLOG = 512;

    private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));

    private volatile CountDownLatch headsToSend = new CountDownLatch(0);

    /** Starts listening at a free port. */
    LargeBodyInstance() throws IOException {
        thread(this::accept);
    }

    private static void thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Lets responses wait after their head until this number of heads has been sent. */
    void delayBodiesUntil(int heads) {
        headsToSend = new CountDownLatch(heads);
    }

    /** The body of a heartbeat. */
    String heartbeat(String service, long sequence) {
        return """
                {"address":"127.0.0.1:%d","information":{"service":"%s","version":"v1","zone":"a","slotCount":32},
                "status":{"state":"ready","sequence":%d,"coldRemaining":"0ms"}}
                """.formatted(server.getLocalPort(), service, sequence);
    }

    /** What the response to a body begins with. */
    static String description(long length, CRC32 checksum) {
        return length + " bytes, checksum " + checksum.getValue() + "\n";
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                thread(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The server socket was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES);
            for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
                respond(socket, head, in);
            }
        } catch (IOException closed) {
            // The other side closed the connection.
        }
    }

    private void respond(Socket socket, String head, InputStream in) throws IOException {
        CRC32 checksum = new CRC32();
        long length = 0;
        if (header(head, "Transfer-Encoding") != null) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                read(in, size, checksum);
                readLine(in);
                length += size;
            }
            readLine(in);
        } else if (header(head, "Content-Length") != null) {
            length = Long.parseLong(header(head, "Content-Length"));
            read(in, length, checksum);
        }
        String padding = header(head, PADDING);
        int paddingBytes = padding == null ? 0 : Integer.parseInt(padding);
        byte[] text = description(length, checksum).getBytes(StandardCharsets.ISO_8859_1);
        String responseHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + header(head, "X-Attempt-Id")
                + "\r\nX-Response-Seal: s\r\nContent-Length: " + (text.length + paddingBytes) + "\r\n\r\n";
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(responseHead.getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(text);
        socket.getOutputStream().write(out.toByteArray());
        awaitHeads();
        byte[] block = new byte[BUFFER_BYTES];
        for (int left = paddingBytes; left > 0; left -= block.length) {
            socket.getOutputStream().write(block, 0, Math.min(left, block.length));
        }
    }

    private void awaitHeads() throws IOException {
        try {
            headsToSend.countDown();
            headsToSend.await();
        } catch (InterruptedException ended) {
            throw new InterruptedIOException();
        }
    }

    private static void read(InputStream in, long length, CRC32 checksum) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        long left = length;
        while (left > 0) {
            int count = in.read(buffer, 0, (int) Math.min(left, buffer.length));
            if (count < 0) {
                throw new EOFException("body cut off");
            }
            checksum.update(buffer, 0, count);
            left -= count;
        }
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in), 16);
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            head.append(line).append("\r\n");
        }
        return head.toString();
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    private static String header(String head, String name) {
        String prefix = name.toLowerCase(Locale.ROOT) + ":";
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(prefix)) {
                return line.substring(prefix.length()).trim();
            }
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}

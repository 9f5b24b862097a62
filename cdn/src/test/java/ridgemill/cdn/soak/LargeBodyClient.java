package ridgemill.cdn.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.zip.CRC32;

/** A connection of a client that sends bodies of any size without holding them. */
final class LargeBodyClient implements AutoCloseable {

    private static final int TIMEOUT_MS = 30_000;
    private static final AtomicLong IDS = new AtomicLong();
    private static final byte[] BLOCK = new byte[64 * 1_024 - 17];

    static {
        new Random(1).nextBytes(BLOCK);
    }

    private final Socket socket = new Socket();
    private final BufferedInputStream in;

    /** Connects with a receive buffer that the operating system chooses. */
    LargeBodyClient(InetAddress host, int port) throws IOException {
        this(host, port, 0);
    }

    /**
     * Connects.
     *
     * @param receiveBufferBytes the size of the receive buffer; 0 if the operating system chooses it
     */
    LargeBodyClient(InetAddress host, int port, int receiveBufferBytes) throws IOException {
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(host, port), TIMEOUT_MS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** What the instance responds to a body of this length. */
    static String description(long length) {
        CRC32 checksum = new CRC32();
        for (long left = length; left > 0; left -= BLOCK.length) {
            checksum.update(BLOCK, 0, (int) Math.min(left, BLOCK.length));
        }
        return LargeBodyInstance.description(length, checksum);
    }

    /** Sends the head of a request. */
    void sendHead(String method, String path, String headers) throws IOException {
        long id = IDS.incrementAndGet();
        String key = path.startsWith("/write/") ? "X-Operation-Key: k" + id + "\r\n" : "";
        String head = method + ' ' + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: b" + id
                + "\r\nX-Deadline-Remaining: 8000\r\n" + key + headers + "\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends a part of a body of a stated length: the bytes from one position to another. */
    void sendPart(long from, long to) throws IOException {
        OutputStream out = socket.getOutputStream();
        long at = from;
        while (at < to) {
            int start = (int) (at % BLOCK.length);
            int count = (int) Math.min(to - at, BLOCK.length - start);
            out.write(BLOCK, start, count);
            at += count;
        }
    }

    /** Sends a body in chunks of one block each. */
    private void sendChunks(long length) throws IOException {
        OutputStream out = socket.getOutputStream();
        for (long at = 0; at < length; at += BLOCK.length) {
            int count = (int) Math.min(length - at, BLOCK.length);
            out.write((Integer.toHexString(count) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(BLOCK, 0, count);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends a request with a body of a length and reads the response. */
    SoakHttp.Message post(String path, long length, boolean chunked) throws IOException {
        sendHead("POST", path, chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + length + "\r\n");
        if (chunked) {
            sendChunks(length);
        } else {
            sendPart(0, length);
        }
        return read();
    }

    /** Waits until the first byte of a response has arrived, without reading it. */
    void awaitInput() throws IOException {
        in.mark(1);
        if (in.read() < 0) {
            throw new IOException("closed without a response");
        }
        in.reset();
    }

    /** Reads a response. */
    SoakHttp.Message read() throws IOException {
        SoakHttp.Message response = SoakHttp.read(in);
        if (response == null) {
            throw new IOException("closed without a response");
        }
        return response;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}

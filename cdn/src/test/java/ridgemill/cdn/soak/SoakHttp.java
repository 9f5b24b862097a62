package ridgemill.cdn.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A plain HTTP/1.1 connection. The message of a failure tells how far the exchange came. */
final class SoakHttp implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MS = 800;
    private static final String HEAD_END = "\r\n\r\n";

    private final Socket socket = new Socket();
    private final InputStream in;
    private boolean reusable = true;

    /** A complete message. */
    record Message(String first, String head, byte[] body) {

        int status() {
            return Integer.parseInt(first.substring(9, 12));
        }

        /** Returns the value of a header; null if it is absent. */
        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return null;
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    SoakHttp(InetAddress host, int port, int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(host, port), CONNECT_TIMEOUT_MS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Returns whether another request may be sent on the connection. */
    boolean isReusable() {
        return reusable && !socket.isClosed();
    }

    void send(String method, String path, String headers, String body) throws IOException {
        byte[] content = body.getBytes(StandardCharsets.ISO_8859_1);
        String length = content.length == 0 && method.equals("GET") ? "" : "Content-Length: " + content.length + "\r\n";
        String head = method + ' ' + path + " HTTP/1.1\r\nHost: h.example\r\n" + headers + length + "\r\n";
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(content);
        socket.getOutputStream().write(out.toByteArray());
        socket.getOutputStream().flush();
    }

    /** Reads the response to the request that was sent. */
    Message read() throws IOException {
        Message response = read(in);
        if (response == null) {
            throw new IOException("closed without an answer");
        }
        String connection = response.header("Connection");
        reusable = connection == null || !connection.toLowerCase(Locale.ROOT).contains("close");
        return response;
    }

    /** Reads the next message of a stream; null at its end. */
    static Message read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < HEAD_END.length()
                || !head.substring(head.length() - 4).equals(HEAD_END)) {
            int next = in.read();
            if (next < 0) {
                if (head.length() == 0) {
                    return null;
                }
                throw new IOException("closed within a head");
            }
            head.append((char) next);
        }
        String text = head.toString();
        Message bare = new Message(text.substring(0, text.indexOf("\r\n")), text, new byte[0]);
        String length = bare.header("Content-Length");
        byte[] body = length == null ? new byte[0] : in.readNBytes(Integer.parseInt(length));
        if (length != null && body.length < Integer.parseInt(length)) {
            throw new IOException("closed within a body");
        }
        return new Message(bare.first(), text, body);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // The socket is closed in any case.
        }
    }
}

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The little of HTTP/1.1 that clients, operator and servers of the cases speak. */
final class Http {

    private Http() {}

    /** A response; status 0 if none came, with the reason in {@code error}. */
    record Result(int status, Map<String, String> headers, byte[] body, String error) {
        static final Result NONE = new Result(0, Map.of(), new byte[0], "not sent");

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** A message: its first line, headers by lower-case name, and body. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {}

    /** Reads one message; null at the end of the connection. */
    static Message read(InputStream in, boolean response) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); ; line = line(in)) {
            if (line == null) {
                throw new EOFException("head cut off");
            }
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(exactly(in, size));
                line(in);
            }
            for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                continue;
            }
        } else if (headers.containsKey("content-length") && !(response && start.contains(" 304"))) {
            return new Message(start, headers, exactly(in, Integer.parseInt(headers.get("content-length"))));
        }
        return new Message(start, headers, body.toByteArray());
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            throw new EOFException("chunk cut off");
        }
        int end = line.indexOf(';');
        return Integer.parseInt(end < 0 ? line : line.substring(0, end), 16);
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("body cut off");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString();
            }
            if (b != '\r') {
                line.append((char) b);
            }
        }
        if (line.length() > 0) {
            throw new EOFException("line cut off");
        }
        return null;
    }

    /** A connection of a client, which may be kept for many requests. */
    static final class Connection implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;
        private final OutputStream out;
        boolean reusable = true;

        Connection(String address, int port, int timeoutMs) throws IOException {
            socket.connect(new InetSocketAddress(address, port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
            out = socket.getOutputStream();
        }

        void send(String method, String path, String host, String headerLines, byte[] body) throws IOException {
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + headerLines
                    + "Content-Length: " + body.length + "\r\n\r\n";
            byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
            if (body.length < 64 * 1024) {
                byte[] all = java.util.Arrays.copyOf(headBytes, headBytes.length + body.length);
                System.arraycopy(body, 0, all, headBytes.length, body.length);
                out.write(all);
            } else {
                out.write(headBytes);
                out.write(body);
            }
            out.flush();
        }

        Result receive() throws IOException {
            Message message = read(in, true);
            if (message == null) {
                throw new EOFException("closed without an answer");
            }
            if ("close".equalsIgnoreCase(message.headers().get("connection"))) {
                reusable = false;
            }
            return new Result(
                    Integer.parseInt(message.startLine().substring(9, 12)), message.headers(), message.body(), "");
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
                reusable = false;
            }
        }
    }

    /** One request on a connection of its own. */
    static Result call(
            String address, int port, String method, String path, String body, String headerLines, int timeoutMs) {
        try (Connection connection = new Connection(address, port, timeoutMs)) {
            connection.send(
                    method,
                    path,
                    address + ":" + port,
                    headerLines + (body == null ? "" : "Content-Type: application/json\r\n"),
                    body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8));
            return connection.receive();
        } catch (IOException failed) {
            return new Result(0, Map.of(), new byte[0], failed.toString());
        }
    }
}

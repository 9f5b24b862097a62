package rig2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 exchange on a connection of its own. */
public final class Http {

    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private Http() {}

    /**
     * A complete response.
     *
     * @param headers by name in lower case
     */
    public record Response(int status, Map<String, String> headers, byte[] body) {

        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /**
     * Encodes a request of the deployment's host.
     *
     * @param headers header lines, each with its CR LF
     * @param body null for a request without a body
     */
    public static byte[] request(String method, String path, String headers, byte[] body) {
        String head = method + ' ' + path + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\n" + headers
                + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "Connection: close\r\n\r\n";
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(bytes, bytes.length + (body == null ? 0 : body.length));
        if (body != null) {
            System.arraycopy(body, 0, all, bytes.length, body.length);
        }
        return all;
    }

    /** Sends a request; returns null if no complete response came in time. */
    public static Response exchange(InetSocketAddress address, byte[] request, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_TIMEOUT_MS);
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(request);
            return read(socket.getInputStream());
        } catch (IOException failed) {
            return null;
        }
    }

    private static Response read(InputStream in) throws IOException {
        String statusLine = line(in);
        if (statusLine == null || statusLine.length() < 12) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        return body.length < length ? null : new Response(Integer.parseInt(statusLine.substring(9, 12)), headers, body);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).trim();
            }
            line.write(b);
        }
        return null;
    }
}

package ridgemill.gateway;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import ridgemill.testbed.HttpText;

/** A scripted server on the loopback address: what it has read waits in a queue, and the test writes each answer. */
final class Peer implements Closeable {

    static final long PATIENCE_S = 30;

    /** One message as it was read, and the connection to answer it on; null as its text means the peer closed. */
    record Message(String text, Wire wire) {
        String header(String name) {
            return HttpText.header(text, name);
        }

        String firstLine() {
            return text.lines().findFirst().orElse("");
        }

        String body() {
            return HttpText.body(text);
        }
    }

    /** One end of a connection. */
    record Wire(Socket socket, int number) implements Closeable {

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void answer(int status, String body, String... headers) throws IOException {
            String more = headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n";
            write("HTTP/1.1 " + status + " x\r\nContent-Length: " + body.length() + "\r\n" + more + "\r\n" + body);
        }

        /** Reads one message with its body; null when the other side has closed. */
        String read() throws IOException {
            return HttpText.read(socket.getInputStream());
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private final ServerSocket server;
    private final BlockingQueue<Message> messages = new LinkedBlockingQueue<>();
    private final BlockingQueue<Wire> accepted = new LinkedBlockingQueue<>();
    private volatile boolean raw;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Thread accepting = new Thread(this::accept, "peer");

    Peer() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        accepting.setDaemon(true);
        accepting.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    String dial() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** The next message; one with a null text when a connection was closed instead. */
    Message next() throws InterruptedException {
        Message message = messages.poll(PATIENCE_S, TimeUnit.SECONDS);
        if (message == null) {
            throw new AssertionError("nothing came");
        }
        return message;
    }

    /** From now on connections that come are left unread, for {@link #accepted}. */
    void raw() {
        raw = true;
    }

    /** The next connection that is left unread. */
    Wire accepted() throws InterruptedException {
        Wire wire = accepted.poll(PATIENCE_S, TimeUnit.SECONDS);
        if (wire == null) {
            throw new AssertionError("nobody came");
        }
        return wire;
    }

    /** The next message, whenever it comes. */
    Message await() throws InterruptedException {
        return messages.take();
    }

    boolean heardNothing() {
        return messages.isEmpty();
    }

    static Wire connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_S));
        return new Wire(socket, 0);
    }

    private void accept() {
        try {
            for (int number = 0;; number++) {
                Wire wire = new Wire(server.accept(), number);
                sockets.add(wire.socket());
                if (raw) {
                    accepted.add(wire);
                    continue;
                }
                Thread reading = new Thread(() -> read(wire), "peer-" + number);
                reading.setDaemon(true);
                reading.start();
            }
        } catch (IOException e) {
            return;
        }
    }

    private void read(Wire wire) {
        String text = "";
        while (text != null) {
            try {
                text = wire.read();
            } catch (IOException e) {
                text = null;
            }
            messages.add(new Message(text, wire));
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        try {
            // The system listens on until the thread has come back from its accept.
            accepting.join(TimeUnit.SECONDS.toMillis(PATIENCE_S));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}

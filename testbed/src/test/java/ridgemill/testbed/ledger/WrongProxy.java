package ridgemill.testbed.ledger;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import ridgemill.testbed.HttpText;

/** A small proxy that does right but for one thing, and knows which requests it wronged. */
final class WrongProxy implements Closeable {

    enum Wrong {
        NOTHING,
        LOSES,
        CLOSES,
        LATE,
        ANSWERS_TWICE,
        OTHERS_ANSWER,
        TWO_AT_ONCE,
        AFTER_ANSWER,
        REPEATS_UNSAFE,
        REFUSES_AFTER_RUN,
        REPEATS_FORGOTTEN,
        SENDS_TO_DRAINED,
        PUSHES_COLD
    }

    /** One of so many requests is wronged. */
    private static final int OFTEN = 10;

    private record Message(String text, String body) {
        String header(String name) {
            return HttpText.header(text, name);
        }

        int status() {
            return Integer.parseInt(text.split(" ")[1]);
        }

        boolean isWrite() {
            return text.startsWith("PUT");
        }
    }

    private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final Wrong wrong;
    private final List<InetSocketAddress> caches;
    private final InetSocketAddress store;
    private final long forgottenMs;
    private final AtomicInteger count = new AtomicInteger();
    private volatile String lastBody = "key=none";
    private int busy;
    final Set<String> wronged = ConcurrentHashMap.newKeySet();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    WrongProxy(Wrong wrong, List<InetSocketAddress> caches, InetSocketAddress store, long forgottenMs)
            throws IOException {
        this.wrong = wrong;
        this.caches = caches;
        this.store = store;
        this.forgottenMs = forgottenMs;
        daemon(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private static void daemon(Runnable run) {
        Thread thread = new Thread(run, "wrong-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket client = server.accept();
                open.add(client);
                daemon(() -> serve(client));
            }
        } catch (IOException e) {
            return;
        }
    }

    private void serve(Socket client) {
        try (client) {
            for (Message in = read(client); in != null; in = read(client)) {
                boolean now = count.incrementAndGet() % OFTEN == 0;
                busy(1);
                try {
                    handle(client, in, now ? wrong : Wrong.NOTHING);
                } finally {
                    busy(-1);
                }
            }
        } catch (IOException | InterruptedException e) {
            return;
        }
    }

    private synchronized void busy(int more) {
        busy += more;
        notifyAll();
    }

    /** Returns when no request is in its hands. */
    synchronized void quiet() throws InterruptedException {
        while (busy > 0) {
            wait();
        }
    }

    private void handle(Socket client, Message in, Wrong how) throws IOException, InterruptedException {
        String id = in.header("X-Call-Id");
        if (how != Wrong.NOTHING && applies(how, in)) {
            wronged.add(id);
        }
        switch (how) {
            case LOSES -> {}
            case CLOSES -> {
                ask(caches.get(0), in);
                client.close();
            }
            case LATE -> {
                Thread.sleep((long) (Double.parseDouble(in.header("X-Budget")) * 1000) + 400);
                answer(client, 502, "");
            }
            case ANSWERS_TWICE -> {
                Message got = serve(in);
                write(client, text(got.status(), got.body()) + text(got.status(), got.body()));
            }
            case OTHERS_ANSWER -> {
                String others = lastBody;
                serve(in);
                answer(client, 200, others);
            }
            case TWO_AT_ONCE -> {
                if (in.isWrite()) {
                    answer(client, 200, serve(in).body());
                    return;
                }
                // Slow nodes in this test: the second goes out long before the first is done.
                daemon(() -> {
                    try {
                        ask(caches.get(0), in);
                    } catch (IOException e) {
                        return;
                    }
                });
                Thread.sleep(60);
                Message got = serve(in);
                answer(client, got.status(), got.body());
            }
            case AFTER_ANSWER -> {
                Message got = serve(in);
                answer(client, got.status(), got.body());
                Thread.sleep(200);
                ask(caches.get(0), in);
            }
            case REPEATS_FORGOTTEN -> {
                Message got = serve(in);
                if (in.isWrite()) {
                    Thread.sleep(forgottenMs);
                    got = serve(in);
                }
                answer(client, got.status(), got.body());
            }
            default -> {
                Message got = serve(in);
                boolean failed = got.status() != 200 && "once".equals(in.header("X-Call-Class"));
                if (failed && wrong == Wrong.REPEATS_UNSAFE) {
                    wronged.add(id);
                    got = serve(in);
                    answer(client, got.status() == 200 ? 200 : 502, got.body());
                } else if (failed && wrong == Wrong.REFUSES_AFTER_RUN) {
                    wronged.add(id);
                    answer(client, 503, "");
                } else {
                    answer(client, got.status() == 200 ? 200 : 502, got.body());
                }
            }
        }
    }

    private static boolean applies(Wrong how, Message in) {
        return switch (how) {
            case TWO_AT_ONCE -> !in.isWrite();
            case REPEATS_FORGOTTEN -> in.isWrite();
            case REPEATS_UNSAFE, REFUSES_AFTER_RUN, SENDS_TO_DRAINED, PUSHES_COLD -> false;
            default -> true;
        };
    }

    /** As it should be: a read at its cache node and on a miss at the store, a write at the store. */
    private Message serve(Message in) throws IOException {
        InetSocketAddress cache = caches.get(
                wrong == Wrong.PUSHES_COLD || wrong == Wrong.SENDS_TO_DRAINED
                        ? 0
                        : Math.floorMod(in.text().split(" ")[1].hashCode(), caches.size()));
        Message got = in.isWrite() ? ask(store, in) : ask(cache, in);
        if (got.status() == 404) {
            got = ask(store, in);
        }
        if (got.status() == 200) {
            lastBody = got.body();
        }
        return got;
    }

    private Message ask(InetSocketAddress node, Message in) throws IOException {
        try (Socket socket = new Socket(node.getAddress(), node.getPort())) {
            write(socket, in.text() + in.body());
            Message got = read(socket);
            return got == null ? new Message("HTTP/1.1 502 x", "") : got;
        } catch (IOException e) {
            return new Message("HTTP/1.1 502 x", "");
        }
    }

    private static void answer(Socket client, int status, String body) throws IOException {
        write(client, text(status, body));
    }

    private static String text(int status, String body) {
        return "HTTP/1.1 " + status + " x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static Message read(Socket socket) throws IOException {
        String message = HttpText.read(socket.getInputStream());
        if (message == null) {
            return null;
        }
        String body = HttpText.body(message);
        return new Message(message.substring(0, message.length() - body.length()), body);
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}

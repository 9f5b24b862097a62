package ridgemill.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.epoll.Epoll;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import ridgemill.gateway.control.ControlServer;

class SocketKindTest {

    @TempDir
    private Path directory;

    @Test
    void epollServesWhereItCanBeHadAndTheJdksElsewhere() {
        SocketKind best = Epoll.isAvailable() ? SocketKind.EPOLL : SocketKind.NIO;
        assertEquals(best, SocketKind.chosen("auto"));
        assertEquals(best, SocketKind.chosen("epoll"));
        assertEquals(SocketKind.NIO, SocketKind.chosen("nio"));
        assertEquals(SocketKind.NIO, SocketKind.chosen("kqueue"));
    }

    /** A deployment whose disk can't be written and that has no library beside the jar: the process starts all the same. */
    @Test
    void aLibraryThatCannotBeLoadedIsSaidAndTheProcessServes() throws Exception {
        // Below a file no directory can be made, whoever runs this.
        Path readOnly = Files.createFile(directory.resolve("file")).resolve("nowhere");
        Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Djava.library.path=" + readOnly, "-Dio.netty.native.workdir=" + readOnly, "-Djava.io.tmpdir=" + readOnly,
                "-cp", System.getProperty("java.class.path"), "ridgemill.Main", "rehearse").redirectErrorStream(true).start();
        process.getOutputStream().close();
        List<String> said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue(), said.toString());
        assertTrue(said.stream().anyMatch(l -> l.contains("sockets: the JDK's selectors serve")), said.toString());
        assertTrue(said.stream().anyMatch(l -> l.contains("listening on")), said.toString());
    }

    @ParameterizedTest
    @EnumSource
    void aLoopKnowsItsKindAndHasAControlSocket(SocketKind kind) throws Exception {
        if (kind == SocketKind.EPOLL && !Epoll.isAvailable()) {
            return;
        }
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, kind.handlers());
        try {
            EventLoop loop = group.next();
            assertEquals(kind, SocketKind.of(loop));
            Path path = directory.resolve(kind + ".sock");
            ControlServer server = ControlServer.listen(path, loop, line -> CompletableFuture.completedFuture("heard " + line));
            try (SocketChannel client = SocketChannel.open(StandardProtocolFamily.UNIX)) {
                client.connect(UnixDomainSocketAddress.of(path));
                client.write(ByteBuffer.wrap("status\n".getBytes(StandardCharsets.UTF_8)));
                ByteBuffer answer = ByteBuffer.allocate(64);
                while (client.read(answer) >= 0) {
                    assertTrue(answer.hasRemaining());
                }
                assertEquals("heard status\n", new String(answer.array(), 0, answer.position(), StandardCharsets.UTF_8));
            }
            server.close();
            assertTrue(Files.notExists(path));
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }
}

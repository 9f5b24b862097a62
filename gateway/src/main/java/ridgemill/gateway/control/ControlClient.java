package ridgemill.gateway.control;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Sends commands to the control socket of a proxy that runs on this machine. */
public final class ControlClient {

    private ControlClient() { }

    /**
     * Sends a command and returns the complete response.
     *
     * @throws IOException if no proxy responds at the socket
     */
    public static String send(Path socket, String command) throws IOException {
        try (SocketChannel channel = SocketChannel.open(UnixDomainSocketAddress.of(socket))) {
            ByteBuffer line = ByteBuffer.wrap((command + "\n").getBytes(StandardCharsets.UTF_8));
            while (line.hasRemaining()) {
                channel.write(line);
            }
            ByteArrayOutputStream response = new ByteArrayOutputStream();
            Channels.newInputStream(channel).transferTo(response);
            if (response.size() == 0) {
                throw new IOException("no answer");
            }
            return response.toString(StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IOException("no proxy answers at " + socket + ": " + e.getMessage(), e);
        }
    }
}

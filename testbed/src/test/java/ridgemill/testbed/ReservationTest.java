package ridgemill.testbed;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.Socket;
import org.junit.jupiter.api.Test;

class ReservationTest {

    /** For the system a closed listener listens on until its loop looks at its sockets; a start that came sooner failed. */
    @Test
    void aListenerFollowsOneThatWasClosedInTheSameRoundOfItsLoop() throws Exception {
        var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (Reservation port = new Reservation()) {
            SingleThreadIoEventLoop loop = (SingleThreadIoEventLoop) group.next();
            ServerBootstrap server = new ServerBootstrap()
                    .group(loop)
                    .channel(NioServerSocketChannel.class)
                    .childHandler(new ChannelInboundHandlerAdapter());
            Channel old = port.listen(server);
            loop.execute(() -> {
                old.close();
                while (loop.pendingTasks() == 0) {
                    Thread.onSpinWait();
                }
            });
            assertTrue(port.listen(server).isActive());
            new Socket(port.address().getAddress(), port.address().getPort()).close();
        } finally {
            group.shutdownGracefully().awaitUninterruptibly();
        }
    }
}

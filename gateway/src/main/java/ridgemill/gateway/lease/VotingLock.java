package ridgemill.gateway.lease;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Two processes of one proxy, as in an upgrade or by mistake, are one voter and one candidate: the one that has this lock. The
 * system gives it back when a process ends, however it ends, and keeps it for one that is stopped, which may go on to vote.
 */
final class VotingLock implements AutoCloseable {

    private final FileChannel file;
    private FileLock lock;

    /** The lock of the proxy whose peers reach it there, in this directory. */
    VotingLock(Path directory, InetSocketAddress peers) throws IOException {
        file = FileChannel.open(directory.resolve("ridgemill-" + peers.getAddress().getHostAddress().replace(':', '_') + "-"
                + peers.getPort() + ".voter"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** Whether this process has it now. */
    boolean tryAcquire() throws IOException {
        if (lock == null) {
            lock = file.tryLock();
        }
        return lock != null;
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}

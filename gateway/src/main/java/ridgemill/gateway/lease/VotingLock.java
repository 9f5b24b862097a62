package ridgemill.gateway.lease;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A file lock that makes one process the voter and candidate of a proxy, when an upgrade or a mistake runs two
 * processes of the same proxy. The operating system releases the lock however the process ends, and keeps it while the
 * process is only stopped, because a stopped process may resume voting.
 */
final class VotingLock implements AutoCloseable {

    private final FileChannel file;
    private FileLock lock;

    /** Opens the lock file in this directory for the proxy that its peers reach at {@code peerAddress}. */
    VotingLock(Path directory, InetSocketAddress peerAddress) throws IOException {
        file = FileChannel.open(directory.resolve("ridgemill-" + peerAddress.getAddress().getHostAddress().replace(':',
                '_') + "-"
                + peerAddress.getPort() + ".voter"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** Tries to acquire the lock; returns whether this process holds it now. */
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

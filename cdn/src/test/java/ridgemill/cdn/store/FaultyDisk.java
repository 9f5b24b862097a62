package ridgemill.cdn.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.concurrent.Semaphore;

/** Opens files of a disk whose writes or syncs can be made to fail or to hang. */
final class FaultyDisk implements DiskFile.Opener {

    private final Semaphore working = new Semaphore(1);
    private volatile boolean failWrites;
    private volatile boolean failSyncs;

    void setFailing(boolean writes, boolean syncs) {
        failWrites = writes;
        failSyncs = syncs;
    }

    void hang() {
        working.acquireUninterruptibly();
    }

    void resume() {
        working.release();
    }

    @Override
    public DiskFile open(Path path) throws IOException {
        DiskFile file = DiskFile.of(path);
        return new DiskFile() {
            @Override
            public long size() throws IOException {
                return file.size();
            }

            @Override
            public void read(ByteBuffer into, long position) throws IOException {
                file.read(into, position);
            }

            @Override
            public void write(ByteBuffer bytes, long position) throws IOException {
                if (failWrites) {
                    bytes.limit(bytes.position() + bytes.remaining() / 2);
                    file.write(bytes, position);
                    throw new IOException("No space left on device");
                }
                file.write(bytes, position);
            }

            @Override
            public void truncate(long size) throws IOException {
                file.truncate(size);
            }

            @Override
            public void force() throws IOException {
                working.acquireUninterruptibly();
                working.release();
                if (failSyncs) {
                    throw new IOException("Input/output error");
                }
                file.force();
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        };
    }
}

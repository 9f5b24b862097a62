package ridgemill.cdn.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The calls on one file that the journal needs; tests put files in its place that refuse. */
interface DiskFile extends Closeable {

    /** Opens files. */
    interface Opener {

        /** Opens a file for reading and writing; makes it if it is not there. */
        DiskFile open(Path path) throws IOException;
    }

    /** The length in bytes. */
    long size() throws IOException;

    /** Reads at a position until the buffer is full or the file ends. */
    void read(ByteBuffer into, long position) throws IOException;

    /** Writes all bytes at a position. */
    void write(ByteBuffer bytes, long position) throws IOException;

    /** Cuts the file. */
    void truncate(long size) throws IOException;

    /** Returns once all that was written survives a loss of power. */
    void force() throws IOException;

    /** A file of the file system. */
    static DiskFile of(Path path) throws IOException {
        return new ChannelFile(
                FileChannel.open(path, StandardOpenOption.READ, StandardOpenOption.WRITE, StandardOpenOption.CREATE));
    }

    /**
     * A file of the file system.
     *
     * @param channel the open file
     */
    record ChannelFile(FileChannel channel) implements DiskFile {

        @Override
        public long size() throws IOException {
            return channel.size();
        }

        @Override
        public void read(ByteBuffer into, long position) throws IOException {
            long at = position;
            for (int read = 0; read >= 0 && into.hasRemaining(); at += read) {
                read = channel.read(into, at);
            }
        }

        @Override
        public void write(ByteBuffer bytes, long position) throws IOException {
            long at = position;
            while (bytes.hasRemaining()) {
                at += channel.write(bytes, at);
            }
        }

        @Override
        public void truncate(long size) throws IOException {
            channel.truncate(size);
        }

        @Override
        public void force() throws IOException {
            channel.force(false);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}

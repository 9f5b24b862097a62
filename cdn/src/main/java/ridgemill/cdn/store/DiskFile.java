package ridgemill.cdn.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The file operations that the journal needs. Tests substitute files that fail. */
interface DiskFile extends Closeable {

    /** Opens files. */
    interface Opener {

        /** Opens a file for reading and writing; creates it if it does not exist. */
        DiskFile open(Path path) throws IOException;
    }

    /** Returns the length in bytes. */
    long size() throws IOException;

    /** Reads at a position until the buffer is full or the file ends. */
    void read(ByteBuffer into, long position) throws IOException;

    /** Writes all bytes at a position. */
    void write(ByteBuffer bytes, long position) throws IOException;

    /** Truncates the file to the given length in bytes. */
    void truncate(long size) throws IOException;

    /** Syncs the file: returns once all written data would survive a power loss. */
    void force() throws IOException;

    /** Opens a file of the file system. */
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

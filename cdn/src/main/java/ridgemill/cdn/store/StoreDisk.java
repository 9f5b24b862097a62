package ridgemill.cdn.store;

import java.io.IOException;

/** The disk of a store. All methods block and are called by one thread. */
interface StoreDisk {

    /**
     * Opens the disk and reads it. May be called again after a failure.
     *
     * @throws DiskCorruptException if the data is not a readable store
     * @throws IOException if the disk fails; a later attempt may succeed
     */
    StoredState open() throws IOException;

    /** Moves unreadable data to another folder, so that {@link #open} finds an empty disk. */
    void moveAside() throws IOException;

    /**
     * Writes a batch atomically and returns once it would survive a power loss.
     *
     * @throws IOException if the batch may not be on disk; it has to be written again
     */
    void write(DiskBatch batch) throws IOException;

    /** Closes the disk. */
    void close();
}

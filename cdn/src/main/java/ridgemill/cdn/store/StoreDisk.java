package ridgemill.cdn.store;

import java.io.IOException;

/** The disk of a store. All methods are called by one thread, which waits for the disk. */
interface StoreDisk {

    /**
     * Opens the disk and reads it. May be called again after a failure.
     *
     * @throws DiskCorruptException if what is there is no readable store
     * @throws IOException if the disk refuses; it may work later
     */
    StoredState open() throws IOException;

    /** Sets what can't be read aside, so that {@link #open} finds an empty disk. */
    void moveAside() throws IOException;

    /**
     * Writes all changes of a batch, or none, and returns once they survive a loss of power.
     *
     * @throws IOException if they may not be there; they are to be written again
     */
    void write(DiskBatch batch) throws IOException;

    /** Closes the disk. */
    void close();
}

/**
 * The configuration store: one process on each core machine that keeps items and operation keys on its disk.
 *
 * <p>{@code StoreProgram} opens the disk, then listens. Everything except the disk runs on one event loop:
 *
 * <ul>
 *   <li>{@code StoreReplica} is the in-memory state of the store. It passes changes to the disk and to the subscribers.
 *   <li>{@code StoreService} handles the messages of proxies, registries and other stores; {@code UpdatePublisher}
 *       numbers changes and sends them to the subscribers.
 *   <li>{@code KeyTransfer} fetches the operation keys for a store that becomes a voter, over the links of {@code
 *       StorePeers}.
 * </ul>
 *
 * <p>The disk, from top to bottom:
 *
 * <ul>
 *   <li>{@code DiskQueue} owns the one thread that waits for the disk. It merges queued changes ({@code
 *       PendingChanges}) into one {@code DiskBatch} per write, and keeps changes whose write failed.
 *   <li>{@code StoreDisk} is the interface that the queue uses. {@code JournalDisk} implements it as a journal that
 *       starts with the complete state ({@code StoredState} when it is opened) and is rewritten when it has grown.
 *   <li>{@code JournalFile} appends frames with chained checksums to a {@code DiskFile} and finds where a power loss
 *       cut them off; {@code DiskCorruptException} reports that more than the end is lost.
 * </ul>
 *
 * <p>The rules of who may vote and when are in {@link ridgemill.cdn.quorum}, the rules for granting keys in {@link
 * ridgemill.cdn.keys}.
 */
package ridgemill.cdn.store;

/**
 * The configuration store: one process on each core machine that keeps items and operation keys on its disk.
 *
 * <p>{@code StoreProgram} opens the disk, then listens. Everything but the disk runs on one event loop:
 *
 * <ul>
 *   <li>{@code StoreReplica} is what the store holds in memory; what changes goes from there to the disk and to the
 *       subscribers.
 *   <li>{@code StoreService} answers the messages of proxies, registries and other stores; {@code UpdatePublisher} numbers
 *       changes and passes them to those who subscribed.
 *   <li>{@code ItemExchange} compares items with other stores in turn; {@code DiskRecovery} brings a voter back that
 *       lost its disk. Both ask over the links of {@code StorePeers}.
 * </ul>
 *
 * <p>The disk, from above to below:
 *
 * <ul>
 *   <li>{@code DiskQueue} has the one thread that waits for the disk. It joins what waits ({@code PendingChanges}) to
 *       one {@code DiskBatch} a write, and keeps what was refused.
 *   <li>{@code StoreDisk} is what it needs of a disk. {@code JournalDisk} is one: a journal that begins with the
 *       whole state ({@code StoredState} when it is opened) and begins anew when it has grown.
 *   <li>{@code JournalFile} appends frames with chained checksums to a {@code DiskFile} and finds where a loss of
 *       power cut them off; {@code DiskCorruptException} says that more than an end is lost.
 * </ul>
 *
 * <p>Who may vote and when is decided in {@link ridgemill.cdn.quorum}, whom a key is granted to in {@link
 * ridgemill.cdn.keys}.
 */
package ridgemill.cdn.store;

package ridgemill.cdn.store.log;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;
import jetbrains.exodus.ExodusException;
import jetbrains.exodus.io.AbstractDataWriter;
import jetbrains.exodus.io.Block;
import jetbrains.exodus.io.DataReader;
import jetbrains.exodus.io.RemoveBlockType;

/**
 * The files of one log as Xodus reads and writes them. A new object is made each time that the log is opened.
 */
public final class CheckedFolder extends AbstractDataWriter implements DataReader {

    private static final System.Logger LOG = System.getLogger(CheckedFolder.class.getName());
    private static final String SUFFIX = ".log";
    private static final int HEXADECIMAL = 16;

    private final Path folder;
    private final DiskFile.Opener opener;
    private final TreeMap<Long, CheckedBlock> blocks = new TreeMap<>();
    private CheckedBlock current;
    private long syncedAddress;
    /** After a failure nothing more is written: a sync that failed once may report success the next time. */
    private boolean failed;

    private CheckedFolder(Path folder, DiskFile.Opener opener) {
        this.folder = folder;
        this.opener = opener;
    }

    /**
     * Opens the files, cuts what is torn off the last one, and checks that the others are whole.
     *
     * @param blockBytes the length of a full block in the log's positions
     * @param knownSynced up to which address the log is known to be on disk: what lies behind it is dropped, as a sync
     *     that failed may have left it in memory only; {@link Long#MAX_VALUE} if nothing is known
     * @throws BrokenLogException if a file before the last one is not whole
     * @throws IOException if the disk refuses
     */
    public static CheckedFolder open(Path folder, long blockBytes, long knownSynced, DiskFile.Opener opener)
            throws IOException {
        CheckedFolder opened = new CheckedFolder(folder, opener);
        try {
            opened.readBlocks(blockBytes, knownSynced);
        } catch (IOException failure) {
            opened.closeBlocks();
            throw failure;
        }
        return opened;
    }

    private void readBlocks(long blockBytes, long knownSynced) throws IOException {
        for (long address : addresses()) {
            if (address >= knownSynced) {
                Files.delete(pathOf(address));
            } else {
                DiskFile file = opener.open(pathOf(address));
                blocks.put(address, CheckedBlock.read(address, file));
            }
        }
        while (!blocks.isEmpty() && blocks.lastEntry().getValue().length() == 0) {
            remove(blocks.lastKey());
        }
        for (CheckedBlock block : blocks.values()) {
            if (block.length() != blockBytes && block != blocks.lastEntry().getValue()) {
                throw new BrokenLogException("the log's file " + pathOf(block.getAddress()) + " is not whole");
            }
        }
        if (!blocks.isEmpty()) {
            CheckedBlock last = blocks.lastEntry().getValue();
            last.truncate((int) Math.min(last.length(), knownSynced - last.getAddress()));
            last.force();
            syncedAddress = last.getAddress() + last.length();
        }
        syncDirectory();
    }

    private List<Long> addresses() throws IOException {
        List<Long> addresses = new ArrayList<>();
        try (Stream<Path> paths = Files.list(folder)) {
            for (Path path : paths.toList()) {
                String name = path.getFileName().toString();
                if (name.endsWith(SUFFIX)) {
                    String number = name.substring(0, name.length() - SUFFIX.length());
                    addresses.add(Long.parseLong(number, HEXADECIMAL));
                }
            }
        }
        addresses.sort(null);
        return addresses;
    }

    private Path pathOf(long address) {
        return folder.resolve(Long.toHexString(address) + SUFFIX);
    }

    /** Up to which address the log survives a loss of power. */
    public synchronized long syncedAddress() {
        return syncedAddress;
    }

    /** How many bytes the log has, heads of frames left out. */
    public synchronized long bytes() {
        long bytes = 0;
        for (CheckedBlock block : blocks.values()) {
            bytes += block.length();
        }
        return bytes;
    }

    @Override
    public String getLocation() {
        return folder.toString();
    }

    @Override
    public Iterable<Block> getBlocks() {
        return getBlocks(0);
    }

    @Override
    public synchronized Iterable<Block> getBlocks(long fromAddress) {
        return new ArrayList<>(blocks.tailMap(fromAddress, true).values());
    }

    @Override
    public synchronized Block write(byte[] bytes, int offset, int count) {
        try {
            checkNotFailed();
            current.append(bytes, offset, count);
            return current;
        } catch (IOException refused) {
            failed = true;
            throw new ExodusException("a block can't be written", refused);
        }
    }

    @Override
    protected synchronized void syncImpl() {
        try {
            checkNotFailed();
            current.force();
            syncedAddress = current.getAddress() + current.length();
        } catch (IOException refused) {
            failed = true;
            throw new ExodusException("a block can't be synced", refused);
        }
    }

    private void checkNotFailed() throws IOException {
        if (failed) {
            throw new IOException("the disk refused before");
        }
    }

    /** A block is on disk before the next one is begun. */
    @Override
    protected synchronized void closeImpl() {
        if (current != null) {
            syncImpl();
            current = null;
        }
    }

    @Override
    protected synchronized Block openOrCreateBlockImpl(long address, long length) {
        try {
            current = blocks.get(address);
            if (current == null) {
                current = CheckedBlock.read(address, opener.open(pathOf(address)));
                blocks.put(address, current);
            }
            current.truncate((int) length);
            return current;
        } catch (IOException refused) {
            throw new ExodusException("a block can't be opened", refused);
        }
    }

    @Override
    public synchronized void removeBlock(long address, RemoveBlockType type) {
        try {
            remove(address);
        } catch (IOException refused) {
            throw new ExodusException("a block can't be removed", refused);
        }
    }

    private void remove(long address) throws IOException {
        CheckedBlock block = blocks.remove(address);
        if (block != null) {
            block.close();
        }
        Files.deleteIfExists(pathOf(address));
    }

    @Override
    public synchronized void truncateBlock(long address, long length) {
        try {
            CheckedBlock block = blocks.get(address);
            if (block != null) {
                block.truncate((int) length);
            }
        } catch (IOException refused) {
            throw new ExodusException("a block can't be cut", refused);
        }
    }

    @Override
    protected synchronized void clearImpl() {
        try {
            for (long address : new ArrayList<>(blocks.keySet())) {
                remove(address);
            }
        } catch (IOException refused) {
            throw new ExodusException("the log can't be cleared", refused);
        }
    }

    /** Names that were removed stay so after a loss of power. */
    @Override
    public void syncDirectory() {
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        } catch (IOException refused) {
            throw new ExodusException("the log's folder can't be synced", refused);
        }
    }

    /** Closes all files, also where Xodus left them open after a failure. */
    public synchronized void closeBlocks() {
        for (CheckedBlock block : blocks.values()) {
            try {
                block.close();
            } catch (IOException refused) {
                LOG.log(System.Logger.Level.WARNING, "event=file_not_closed cause=\"" + refused.getMessage() + "\"");
            }
        }
        blocks.clear();
    }

    /** One process uses a folder: locks are not needed. */
    @Override
    public boolean lock(long timeoutMs) {
        return true;
    }

    @Override
    public boolean release() {
        return true;
    }

    @Override
    public String lockInfo() {
        return "";
    }
}

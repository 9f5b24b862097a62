package ridgemill.cdn.store.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Random;
import jetbrains.exodus.io.Block;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The log's files beneath Xodus. */
final class CheckedFolderTest {

    private static final int BLOCK_BYTES = 1_000;

    @TempDir
    Path folder;

    private final Random random = new Random(5);

    @Test
    void readsWhatWasWrittenInPiecesOfAnyLength() throws IOException {
        byte[] contents = new byte[BLOCK_BYTES];
        random.nextBytes(contents);
        CheckedFolder files = open(Long.MAX_VALUE);
        files.openOrCreateBlock(0, 0);
        for (int at = 0; at < contents.length; ) {
            int count = Math.min(contents.length - at, random.nextInt(40));
            files.write(contents, at, count);
            at += count;
        }
        checkReads(files.getBlocks().iterator().next(), contents);
        files.close();
        files.closeBlocks();
        checkReads(open(Long.MAX_VALUE).getBlocks().iterator().next(), contents);
    }

    private void checkReads(Block block, byte[] contents) {
        assertThat(block.length()).isEqualTo(contents.length);
        for (int i = 0; i < 500; i++) {
            int from = random.nextInt(contents.length);
            int count = random.nextInt(2 * contents.length);
            byte[] read = new byte[count + 3];
            int got = block.read(read, from, 3, count);
            assertThat(got).isEqualTo(Math.min(count, contents.length - from));
            assertThat(Arrays.copyOfRange(read, 3, 3 + got)).isEqualTo(Arrays.copyOfRange(contents, from, from + got));
        }
    }

    @Test
    void cutsWithinAFrameAndTakesNoFrameOfBeforeTheCut() throws IOException {
        CheckedFolder files = open(Long.MAX_VALUE);
        files.openOrCreateBlock(0, 0);
        files.write(new byte[] {1, 2, 3, 4}, 0, 4);
        files.write(new byte[] {5, 6, 7, 8}, 0, 4);
        files.close();
        byte[] before = Files.readAllBytes(folder.resolve("0.log"));
        files.truncateBlock(0, 2);
        files.openOrCreateBlock(0, 2);
        files.write(new byte[] {9, 9}, 0, 2);
        files.close();
        files.closeBlocks();
        byte[] after = Files.readAllBytes(folder.resolve("0.log"));
        Files.write(folder.resolve("0.log"), Arrays.copyOf(after, before.length));
        Block block = open(Long.MAX_VALUE).getBlocks().iterator().next();
        byte[] read = new byte[8];
        assertThat(block.read(read, 0, 0, 8)).isEqualTo(4);
        assertThat(read).startsWith(1, 2, 9, 9);
    }

    @Test
    void dropsWhatLiesBehindTheLastSync() throws IOException {
        CheckedFolder files = open(Long.MAX_VALUE);
        files.openOrCreateBlock(0, 0);
        files.write(new byte[] {1, 2, 3}, 0, 3);
        files.sync();
        files.write(new byte[] {4}, 0, 1);
        files.closeBlocks();
        assertThat(files.syncedAddress()).isEqualTo(3);
        assertThat(open(3).getBlocks().iterator().next().length()).isEqualTo(3);
    }

    @Test
    void refusesALogWithAFileThatIsNotWhole() throws IOException {
        CheckedFolder files = open(Long.MAX_VALUE);
        for (long address = 0; address <= BLOCK_BYTES; address += BLOCK_BYTES) {
            files.openOrCreateBlock(address, 0);
            files.write(new byte[BLOCK_BYTES], 0, BLOCK_BYTES);
            files.close();
        }
        files.closeBlocks();
        byte[] contents = Files.readAllBytes(folder.resolve("0.log"));
        contents[contents.length - 1] ^= 1;
        Files.write(folder.resolve("0.log"), contents);
        assertThatThrownBy(() -> open(Long.MAX_VALUE)).isInstanceOf(BrokenLogException.class);
    }

    private CheckedFolder open(long knownSynced) throws IOException {
        return CheckedFolder.open(folder, BLOCK_BYTES, knownSynced, DiskFile::of);
    }
}

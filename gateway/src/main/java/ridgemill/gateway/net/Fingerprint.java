package ridgemill.gateway.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import ridgemill.core.Command;

/** Tells commands apart by 64 bits of a SHA-256 over all that they ask for; not loaded unless outcomes are recorded. */
public final class Fingerprint {

    private Fingerprint() { }

    /** The same for the same action, target and value, whatever the media type and the key. */
    public static long of(Command<Content> command) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update((byte) command.action().ordinal());
            byte[] target = command.target().getBytes(StandardCharsets.UTF_8);
            sha.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, target.length));
            sha.update(target);
            for (ByteBuffer part : command.content().bytes().nioBuffers()) {
                sha.update(part);
            }
            return ByteBuffer.wrap(sha.digest()).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}

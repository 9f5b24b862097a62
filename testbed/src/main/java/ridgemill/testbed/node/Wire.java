package ridgemill.testbed.node;

import io.netty.channel.ChannelHandler;
import java.util.List;

/** How a stand-in's protocol is read and written; one for each connection. */
interface Wire {

    /**
     * What was asked.
     *
     * @param id of the call; empty where none was told, and then nothing is carried out
     * @param budgetMs how long the other side waits; 0 where it does not tell
     * @param reply the whole answer of what asks for no key; null for a call
     * @param unreadable whether it makes no sense
     * @param under which proxy, process and version it says that it is sent by; null where it says nothing
     */
    record Asked(
            String id,
            String key,
            boolean write,
            String idempotencyKey,
            double budgetMs,
            String reply,
            boolean unreadable,
            String under) {

        /** One that says nothing of versions. */
        Asked(
                String id,
                String key,
                boolean write,
                String idempotencyKey,
                double budgetMs,
                String reply,
                boolean unreadable) {
            this(id, key, write, idempotencyKey, budgetMs, reply, unreadable, null);
        }
    }

    /** What turns bytes into messages. */
    List<ChannelHandler> decoders();

    /** Reads a message; {@code up} says whether the stand-in takes work. */
    Asked read(Object message, boolean up);

    /** A whole answer; headers are HTTP's, of which other protocols keep what they can. */
    String answer(Asked to, int status, String body, String... headers);

    /** An answer whose length is told too short. */
    String shortAnswer(Asked to, int status, String body, String... headers);

    /** The beginning of an answer that never ends. */
    String endless();

    /** What is said when the stand-in begins to drain; null for nothing. */
    String drains();

    /** The id of the call that a message takes back, which is no request of its own and has no reply; null for any other. */
    default String cancels(Object message) {
        return null;
    }

    /** The answer to a call that was taken back, in its place; null where the connection's end takes it back. */
    default String cancelled(Asked to) {
        return null;
    }

    /** Whether calls of several askers share a connection, so that what a call says of its time ends its being awaited. */
    default boolean sharesConnections() {
        return false;
    }
}

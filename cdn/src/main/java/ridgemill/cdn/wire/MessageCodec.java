package ridgemill.cdn.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Turns messages into frames and back. A frame is its length in bytes as a 32-bit number in network order, then the
 * number of the message's kind and its fields as MessagePack values.
 */
public final class MessageCodec extends ByteToMessageCodec<Message> {

    /** No frame is longer; a longer one ends the connection. */
    public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    private static final int LENGTH_BYTES = Integer.BYTES;

    /** The frame's contents for a message. */
    public static byte[] encode(Message message) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(message.kind().number());
            message.write(new FieldWriter(packer));
            return packer.toByteArray();
        }
    }

    /** The message of a frame's contents. */
    public static Message decode(byte[] contents) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(contents)) {
            MessageKind kind = MessageKind.ofNumber(unpacker.unpackInt());
            Message message = kind.read(new FieldReader(unpacker));
            if (unpacker.hasNext()) {
                throw new IOException("bytes follow a message of the kind " + kind);
            }
            return message;
        } catch (RuntimeException malformed) {
            throw new IOException("a frame can't be read: " + malformed, malformed);
        }
    }

    @Override
    protected void encode(ChannelHandlerContext context, Message message, ByteBuf out) throws IOException {
        byte[] contents = encode(message);
        if (contents.length > MAX_FRAME_BYTES) {
            throw new IOException("a message of " + contents.length + " bytes is too long");
        }
        out.writeInt(contents.length);
        out.writeBytes(contents);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws IOException {
        if (in.readableBytes() < LENGTH_BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length < 0 || length > MAX_FRAME_BYTES) {
            throw new IOException("a frame of " + length + " bytes is too long");
        }
        if (in.readableBytes() < LENGTH_BYTES + length) {
            return;
        }
        in.skipBytes(LENGTH_BYTES);
        byte[] contents = new byte[length];
        in.readBytes(contents);
        out.add(decode(contents));
    }
}

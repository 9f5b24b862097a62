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
 * Encodes messages as frames and decodes them. A frame is the length of its contents in bytes, as a 32-bit integer in
 * network byte order, followed by the number of the message kind and the fields as MessagePack values.
 */
public final class MessageCodec extends ByteToMessageCodec<Message> {

    /** The maximum length of a frame. A longer frame closes the connection. */
    public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    private static final int LENGTH_BYTES = Integer.BYTES;

    /** Encodes a message as the contents of a frame. */
    public static byte[] encode(Message message) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(message.kind().number());
            message.write(new FieldWriter(packer));
            return packer.toByteArray();
        }
    }

    /** Decodes the contents of a frame. */
    public static Message decode(byte[] contents) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(contents)) {
            MessageKind kind = MessageKind.ofNumber(unpacker.unpackInt());
            Message message = kind.read(new FieldReader(unpacker));
            if (unpacker.hasNext()) {
                throw new IOException("trailing bytes after a message of kind " + kind);
            }
            return message;
        } catch (RuntimeException malformed) {
            throw new IOException("malformed frame: " + malformed, malformed);
        }
    }

    @Override
    protected void encode(ChannelHandlerContext context, Message message, ByteBuf out) throws IOException {
        byte[] contents = encode(message);
        if (contents.length > MAX_FRAME_BYTES) {
            throw new IOException("message of " + contents.length + " bytes exceeds the maximum frame length");
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
            throw new IOException("frame of " + length + " bytes exceeds the maximum frame length");
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

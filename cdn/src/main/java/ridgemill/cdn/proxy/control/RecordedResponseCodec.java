package ridgemill.cdn.proxy.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes recorded responses for the stores, which keep them as opaque bytes. */
final class RecordedResponseCodec {

    private RecordedResponseCodec() {}

    static byte[] encode(OperationRegister.RecordedResponse response) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(response.status());
            packer.packArrayHeader(response.headers().size());
            for (String header : response.headers()) {
                packer.packString(header);
            }
            packer.packBinaryHeader(response.body().length);
            packer.writePayload(response.body());
            return packer.toByteArray();
        }
    }

    static OperationRegister.RecordedResponse decode(byte[] encoded) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(encoded)) {
            int status = unpacker.unpackInt();
            int count = unpacker.unpackArrayHeader();
            List<String> headers = new ArrayList<>(count);
            for (int i = 0; i < count; i++) {
                headers.add(unpacker.unpackString());
            }
            byte[] body = unpacker.readPayload(unpacker.unpackBinaryHeader());
            return new OperationRegister.RecordedResponse(status, headers, body);
        } catch (RuntimeException malformed) {
            throw new IOException("malformed recorded response", malformed);
        }
    }
}

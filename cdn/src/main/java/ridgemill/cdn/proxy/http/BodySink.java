package ridgemill.cdn.proxy.http;

import io.netty.buffer.ByteBuf;

/** Receives the body of a message in pieces, as they arrive. */
public interface BodySink {

    /** Receives the next piece, which is not empty. The receiver must release it. */
    void bodyPiece(ByteBuf piece);
}

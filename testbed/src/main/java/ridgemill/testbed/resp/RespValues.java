package ridgemill.testbed.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.DecoderException;
import java.util.List;

/** Turns a connection's bytes into values, from the beginning each time more have come. */
public final class RespValues extends ByteToMessageDecoder {

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        NaiveResp naive = new NaiveResp(ByteBufUtil.getBytes(in));
        try {
            out.add(naive.next());
            in.skipBytes(naive.read());
        } catch (NaiveResp.More e) {
            return;
        } catch (NaiveResp.Bad e) {
            in.skipBytes(in.readableBytes());
            throw new DecoderException(e);
        }
    }
}

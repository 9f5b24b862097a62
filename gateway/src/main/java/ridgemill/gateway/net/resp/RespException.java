package ridgemill.gateway.net.resp;

import io.netty.handler.codec.DecoderException;

/** Bytes that are no value of the protocol, or are past a bound. Nothing behind them can be read. */
public final class RespException extends DecoderException {

    private static final long serialVersionUID = 1L;

    public RespException(String what) {
        super(what);
    }
}

package ridgemill.cdn.proxy.http;

/**
 * Reads responses. A response that is delimited only by the end of the connection is rejected, because it could be
 * truncated.
 */
public final class ResponseReader extends MessageReader {

    private static final int MAX_HEAD_BYTES = 32 * 1_024;
    private static final long MAX_BODY_BYTES = 32L * 1_024 * 1_024;
    private static final int STATUS_START = 9;
    private static final int STATUS_END = 12;

    private int status;
    private boolean headRequest;
    private boolean http10;

    /** Sets whether the next response is to a HEAD request and therefore has no body. */
    public void setHeadRequest(boolean isHead) {
        headRequest = isHead;
    }

    /** The status code. */
    public int status() {
        return status;
    }

    /** Whether the connection stays open after this response. */
    public boolean isKeepAlive() {
        return !http10 && !headers().containsToken("Connection", "close");
    }

    @Override
    void startLine(String line) throws BadMessageException {
        http10 = line.startsWith("HTTP/1.0 ");
        if (!http10 && !line.startsWith("HTTP/1.1 ")
                || line.length() < STATUS_END
                || line.length() > STATUS_END && line.charAt(STATUS_END) != ' ') {
            throw new BadMessageException(502, "malformed status line");
        }
        status = 0;
        for (int i = STATUS_START; i < STATUS_END; i++) {
            int digit = line.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                throw new BadMessageException(502, "malformed status code");
            }
            status = 10 * status + digit;
        }
        if (status < 200 || status > 599) {
            throw new BadMessageException(502, "status code is not a final status");
        }
    }

    @Override
    boolean isBodiless() {
        return headRequest || status == 204 || status == 304;
    }

    @Override
    boolean isEmptyWithoutLength() {
        return false;
    }

    @Override
    int maxHeadBytes() {
        return MAX_HEAD_BYTES;
    }

    @Override
    long maxBodyBytes() {
        return MAX_BODY_BYTES;
    }

    @Override
    long maxGatheredBytes() {
        return MAX_BODY_BYTES;
    }

    @Override
    boolean needsGrants() {
        return true;
    }
}

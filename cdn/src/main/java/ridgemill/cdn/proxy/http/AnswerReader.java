package ridgemill.cdn.proxy.http;

/** Reads answers. One whose end only the end of the connection would tell is refused: it could have been cut. */
public final class AnswerReader extends MessageReader {

    private static final int MAX_HEAD_BYTES = 32 * 1_024;
    private static final long MAX_BODY_BYTES = 32L * 1_024 * 1_024;
    private static final int STATUS_AT = 9;
    private static final int STATUS_END = 12;

    private int status;
    private boolean toHead;
    private boolean oldVersion;

    /** Says whether the next answer is to a HEAD request, and so has no body. */
    public void toHead(boolean isToHead) {
        toHead = isToHead;
    }

    /** The status. */
    public int status() {
        return status;
    }

    /** Whether the connection stays open behind this answer. */
    public boolean isKeepAlive() {
        return !oldVersion && !headers().lists("Connection", "close");
    }

    @Override
    void startLine(String line) throws BadMessageException {
        oldVersion = line.startsWith("HTTP/1.0 ");
        if (!oldVersion && !line.startsWith("HTTP/1.1 ")
                || line.length() < STATUS_END
                || line.length() > STATUS_END && line.charAt(STATUS_END) != ' ') {
            throw new BadMessageException(502, "no status line");
        }
        status = 0;
        for (int i = STATUS_AT; i < STATUS_END; i++) {
            int digit = line.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                throw new BadMessageException(502, "no status");
            }
            status = 10 * status + digit;
        }
        if (status < 200 || status > 599) {
            throw new BadMessageException(502, "no final status");
        }
    }

    @Override
    boolean isBodiless() {
        return toHead || status == 204 || status == 304;
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
}

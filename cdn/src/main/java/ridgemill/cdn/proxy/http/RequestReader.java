package ridgemill.cdn.proxy.http;

/** Reads requests. */
public final class RequestReader extends MessageReader {

    /** Larger bodies are streamed, in bytes. */
    public static final int MAX_GATHERED_BYTES = 64 * 1_024;

    private int maxHeadBytes;
    private long maxBodyBytes;
    private String method;
    private String target;
    private boolean http10;

    /** Sets the maximum size of the head and the body, in bytes. */
    public void setLimits(int headBytes, long bodyBytes) {
        maxHeadBytes = headBytes;
        maxBodyBytes = bodyBytes;
    }

    /** The method. */
    public String method() {
        return method;
    }

    /** The path and query as received. */
    public String target() {
        return target;
    }

    /** Whether the client allows the connection to stay open. */
    public boolean isKeepAlive() {
        return !http10 && !headers().containsToken("Connection", "close");
    }

    /** Whether the client waits for {@code 100 Continue} before it sends the body. */
    public boolean expectsContinue() {
        return "100-continue".equalsIgnoreCase(headers().get("Expect"));
    }

    @Override
    void startLine(String line) throws BadMessageException {
        int first = line.indexOf(' ');
        int second = line.indexOf(' ', first + 1);
        if (first <= 0 || second < 0 || line.indexOf(' ', second + 1) >= 0) {
            throw new BadMessageException(400, "request line does not have three parts");
        }
        method = line.substring(0, first);
        target = line.substring(first + 1, second);
        String version = line.substring(second + 1);
        http10 = version.equals("HTTP/1.0");
        if (!HeaderLine.isToken(method) || !isOriginForm(target) || !http10 && !version.equals("HTTP/1.1")) {
            throw new BadMessageException(400, "invalid method, target or version in the request line");
        }
    }

    private static boolean isOriginForm(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) >= 127 || text.charAt(i) == '#') {
                return false;
            }
        }
        return text.startsWith("/");
    }

    @Override
    boolean isBodiless() {
        return false;
    }

    @Override
    boolean isEmptyWithoutLength() {
        return true;
    }

    @Override
    int maxHeadBytes() {
        return maxHeadBytes;
    }

    @Override
    long maxBodyBytes() {
        return maxBodyBytes;
    }

    @Override
    long maxGatheredBytes() {
        return MAX_GATHERED_BYTES;
    }

    @Override
    boolean needsGrants() {
        return false;
    }
}

/**
 * Strict parsing and encoding of HTTP/1.1 messages (RFC 9112).
 *
 * <p>{@code MessageReader} consumes the bytes of a connection as they arrive and frames one message at a time. Framing
 * that two parsers could interpret differently causes a {@code BadMessageException}, after which the connection cannot
 * be used. A body is gathered, or passed to a {@code BodySink} in pieces. {@code RequestReader} reads requests of clients within the operator's limits. {@code ResponseReader} reads
 * responses of instances and never accepts the end of a connection as the end of a response. {@code Headers} keeps
 * lines in their order and distinguishes hop-by-hop from end-to-end headers; {@code HeaderLine} parses one line.
 * {@code MessageWriter} encodes complete messages of both kinds.
 */
package ridgemill.cdn.proxy.http;

/**
 * Strict reading and plain writing of HTTP/1.1 messages (RFC 9112).
 *
 * <p>{@code MessageReader} takes the bytes of a connection as they come and frames one message at a time; whatever two
 * readers could frame differently is a {@code BadMessageException}, behind which the connection is of no use. {@code
 * RequestReader} reads clients' requests within the operator's limits, {@code AnswerReader} instances' answers, and
 * never takes the end of a connection for the end of an answer. {@code Headers} keeps lines in their order and knows
 * which of them concern one connection only; {@code HeaderLine} reads one. {@code MessageWriter} writes both kinds
 * whole.
 */
package ridgemill.cdn.proxy.http;

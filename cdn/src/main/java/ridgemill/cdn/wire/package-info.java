/**
 * The protocol between the processes of the system: typed MessagePack messages over long-lived TCP connections.
 *
 * <ul>
 *   <li>Messages: each {@code Message} is a record in {@code LinkMessages}, {@code RegistryMessages} or {@code
 *       StoreMessages}, depending on its receiver, and writes its own fields. A {@code Call} requests a {@code Reply}.
 *       {@code MessageKind} assigns the permanent numbers of the kinds and reads messages: a new message needs a record
 *       and a line there.
 *   <li>Encoding: {@code MessageCodec} frames messages. {@code FieldWriter} and {@code FieldReader} handle the types of
 *       fields, {@code ValueCodec} the values that several messages contain. The store's disk uses the same encoding.
 *   <li>Connections: a {@code Link} is one connection. It matches replies to calls and passes other messages to its
 *       {@code LinkListener}. {@code ReconnectingLink} opens a connection and reopens it whenever it closes, {@code
 *       LinkServer} accepts connections. A call without a reply ends in a {@code CallFailure}, which tells whether the
 *       call may have been executed.
 * </ul>
 *
 * <p>All methods are called on the event loop of the connection.
 */
package ridgemill.cdn.wire;

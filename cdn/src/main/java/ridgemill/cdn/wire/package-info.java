/**
 * The protocol between the processes of the system: typed messages in MessagePack over held TCP connections.
 *
 * <ul>
 *   <li>Messages: each {@code Message} is a record in {@code LinkMessages}, {@code RegistryMessages} or {@code
 *       StoreMessages}, by who takes it; it writes its own fields. A {@code Call} asks for a {@code Reply}. {@code
 *       MessageKind} numbers them for ever and reads them: a new message is a record and a line there.
 *   <li>Bytes: {@code MessageCodec} frames messages. {@code FieldWriter} and {@code FieldReader} know the types of
 *       fields, {@code ValueCodec} the values that several messages hold, which the store's disk keeps in the same form.
 *   <li>Connections: a {@code Link} is one connection; it matches replies to calls and tells its {@code LinkListener}
 *       of the rest. {@code ReconnectingLink} opens one and opens it again whenever it ends, {@code LinkServer} takes those
 *       of others. A call without an answer ends in a {@code CallFailure}, which says whether it may have been
 *       carried out.
 * </ul>
 *
 * <p>All of it is called on the event loop of its connection.
 */
package ridgemill.cdn.wire;

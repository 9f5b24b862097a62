/** The protocol between the processes of the system: typed messages in MessagePack over held TCP connections. */
package ridgemill.cdn.wire;

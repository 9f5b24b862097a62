/**
 * The control socket, by which operators of this machine send commands to a running proxy: one command per connection
 * on a Unix domain socket that is protected by file permissions. Loaded only if an operator file names a socket.
 */
package ridgemill.gateway.control;

/** Strict reading and plain writing of HTTP/1.1 messages (RFC 9112). */
package ridgemill.cdn.proxy.http;

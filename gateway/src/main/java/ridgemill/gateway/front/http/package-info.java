/** The frontend for HTTP/1.1 clients: reads requests, submits them and writes the responses in order. */
package ridgemill.gateway.front.http;

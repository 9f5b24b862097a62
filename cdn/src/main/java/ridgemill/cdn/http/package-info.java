/** The HTTP server for calls from outside the data path. */
package ridgemill.cdn.http;

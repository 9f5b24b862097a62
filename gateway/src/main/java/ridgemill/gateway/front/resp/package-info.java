/**
 * The frontend for clients of the Redis protocol, RESP2 and RESP3. Loaded only if the operator file has a RESP
 * listener.
 */
package ridgemill.gateway.front.resp;

/** Connections to nodes that use RESP3 or RESP2. Loaded only if an operator file has a group with this protocol. */
package ridgemill.gateway.back.resp;

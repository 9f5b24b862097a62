/** The operators' HTTP endpoint: readiness and metrics of this process. Not loaded unless its address is configured. */
package ridgemill.gateway.console;

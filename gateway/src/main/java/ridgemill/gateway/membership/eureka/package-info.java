/**
 * Reads nodes from Eureka's registry API. Sources: github.com/Netflix/eureka/wiki/Eureka-REST-operations, and the JSON and
 * XML that com.netflix.discovery's converters write. Loaded only where an operator file names a registry.
 */
package ridgemill.gateway.membership.eureka;

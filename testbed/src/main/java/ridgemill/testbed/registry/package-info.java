/** A stand-in for a Eureka registry (github.com/Netflix/eureka/wiki/Eureka-REST-operations). */
package ridgemill.testbed.registry;

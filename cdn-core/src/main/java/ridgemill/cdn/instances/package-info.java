/** Instances of services, as described by their heartbeats, and the merging of tables of instances. */
package ridgemill.cdn.instances;

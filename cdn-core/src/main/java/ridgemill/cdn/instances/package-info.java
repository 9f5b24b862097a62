/** Instances of services: what their heartbeats say and how copies of that knowledge merge. */
package ridgemill.cdn.instances;

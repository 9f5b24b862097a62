/**
 * Rollout of a version of the operator file over the fleet, its rollback, and the quarantine of proxies whose version
 * differs. The package has no I/O, clocks or threads; times are passed in, in milliseconds on the proxy's own clock.
 * The design is described in docs/design/rollout.md.
 */
package ridgemill.rollout;

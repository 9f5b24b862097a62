/**
 * The versions that requests are handled under: the history that a process keeps of them, and what one proxy knows of
 * the other members. The package has no I/O, clocks or threads; times are passed in, in milliseconds of Unix time. The
 * design is described in docs/design/fleet-audit.md.
 */
package ridgemill.version;

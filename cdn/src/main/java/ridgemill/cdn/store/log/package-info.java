/**
 * The files under the Xodus log. Xodus 2.0.1 finds the end of its log by the shape of what it reads and trusts all bytes
 * before it, so after a loss of power a torn commit may be taken for a whole one. These files keep a checksum with each
 * write, each built on the one before, and end the log at the first that is not whole.
 */
package ridgemill.cdn.store.log;

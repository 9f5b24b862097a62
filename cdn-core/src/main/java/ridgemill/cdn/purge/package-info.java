/** Purges of cached copies, and the tracking of which purges a cache has received. */
package ridgemill.cdn.purge;

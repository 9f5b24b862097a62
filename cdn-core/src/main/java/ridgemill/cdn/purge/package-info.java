/** Orders that end the use of cached copies, and what a cache knows of them. */
package ridgemill.cdn.purge;

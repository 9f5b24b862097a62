/** How one process of a proxy takes over from another, and how the other leaves. Free of I/O, clocks and threads. */
package ridgemill.succession;

/** The command line and the processes of the system's programs. */
package ridgemill.cdn.app;

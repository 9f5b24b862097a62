/** The log: one line of key=value pairs for each event. */
package ridgemill.cdn.log;

/** Reads and validates the settings file of a process. */
package ridgemill.cdn.settings;

/** What a process tells of its own figures, as text, to whoever asks. */
package ridgemill.cdn.metrics;

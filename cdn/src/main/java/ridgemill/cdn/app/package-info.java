/**
 * The command line and the processes.
 *
 * <p>{@code Main} reads the command line. {@code Process} runs one of the programs with an event loop of its own and
 * ends it at a signal ({@code Signals}). {@code Rehearsal} starts all programs together on loopback, which the build
 * does to archive the classes that a start loads. This is the only package that knows more than one program.
 */
package ridgemill.cdn.app;

/**
 * The command line and the processes.
 *
 * <p>{@code Main} parses the command line. {@code Process} runs one of the programs with its own event loop and ends it
 * at a signal ({@code Signals}). {@code LoopbackSystem} runs all programs together on loopback, with a {@code
 * LoopbackInstance} as the service. {@code Demonstration} uses it for trying the programs by hand, and {@code
 * ClassArchiveTraining}, which the build runs, for archiving the classes that a start loads. This is the only package
 * that depends on more than one program.
 */
package ridgemill.cdn.app;

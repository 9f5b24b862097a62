/**
 * The command line and the processes.
 *
 * <p>{@code Main} reads the command line. {@code Process} runs one of the programs with an event loop of its own and
 * ends it at a signal ({@code Signals}). {@code LoopbackSystem} runs all programs together on loopback, with a {@code
 * LoopbackInstance} to serve: for {@code Demonstration}, which lets one try them, and {@code ClassArchiveTraining}, which the build
 * runs to archive the classes that a start loads. This is the only package that knows more than one program.
 */
package ridgemill.cdn.app;

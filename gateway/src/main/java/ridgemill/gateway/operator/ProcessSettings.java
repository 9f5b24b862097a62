package ridgemill.gateway.operator;

/**
 * What a file says of the process as a whole.
 *
 * @param loops how many event loops serve, each a complete proxy; at least 1
 * @param idleMs for how long a client's connection is kept without a request, however many there are; 0 for the program's
 *     own measure, which is short where there are many
 */
public record ProcessSettings(int loops, double idleMs) { }

package ridgemill.bench.scale;

/**
 * What one process of a role used, in the mean of the role's processes.
 *
 * @param cpuPercent processor time, in percent of a core
 * @param rssMb resident memory at the end of the window, in MB
 * @param readCallBytesPerS bytes that its read calls brought: files and timers, as sockets are read by other calls
 * @param writeCallBytesPerS bytes that its write calls took, likewise without sockets
 * @param diskBytesPerS bytes that went to the disk
 */
public record RoleCost(
        double cpuPercent, double rssMb, double readCallBytesPerS, double writeCallBytesPerS, double diskBytesPerS) {}

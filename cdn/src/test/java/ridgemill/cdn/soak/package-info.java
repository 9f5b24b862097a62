/**
 * Runs the whole system as real processes on loopback under overlapping, seeded faults and checks each response. {@code
 * SoakTest} runs a few seeds in CI; {@code Soak} runs many seeds from the command line.
 */
package ridgemill.cdn.soak;

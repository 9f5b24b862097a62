/**
 * The whole system as real processes on loopback, under seeded troubles that overlap, with every answer checked. {@code
 * SoakTest} plays a few seeds in CI; {@code Soak} plays many by hand.
 */
package ridgemill.cdn.soak;

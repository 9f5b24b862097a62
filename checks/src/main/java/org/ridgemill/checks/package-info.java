/**
 * What the tests of all modules share, and nothing that a program needs: {@code KnownRed} reads the list of tests that are
 * known to fail, {@code KnownRedExtension} passes over them while tests run, {@code KnownRedReport} judges the list at the
 * end of the build; {@code Purity} is the rule that decisions do no I/O. It stands outside the package of the programs, so
 * that rules over all their classes don't find it.
 */
package org.ridgemill.checks;

/** The register of keyed operations: what voters grant, and how a claimant judges their votes. */
package ridgemill.cdn.keys;

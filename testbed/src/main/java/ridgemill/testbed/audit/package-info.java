/** Whether what processes tell of themselves is what nodes and clients saw. Knows nothing of the program. */
package ridgemill.testbed.audit;

/** Programs that are wrong on purpose: what finds no fault in them proves nothing of the right one. */
package ridgemill.testbed.mutants;

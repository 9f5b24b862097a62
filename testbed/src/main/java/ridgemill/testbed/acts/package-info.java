/** Acts that a fleet must do by one proxy at a time: who receives them, what was done to the fleet meanwhile, and a judge. */
package ridgemill.testbed.acts;

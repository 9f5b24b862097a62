/** Several processes of the program with faults between them: the rig, timelines of faults, and how one that fails is shrunk. */
package ridgemill.lab.fleet;

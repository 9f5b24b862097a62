/**
 * The audit log of a process, its view of the versions in effect in the fleet, and the reports on both for operators.
 */
package ridgemill.gateway.audit;

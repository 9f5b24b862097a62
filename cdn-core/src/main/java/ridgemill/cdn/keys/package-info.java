/**
 * Operations that run at most once per operation key (idempotency key): the register in which voters grant keys to
 * claims, and the counting of their votes.
 */
package ridgemill.cdn.keys;

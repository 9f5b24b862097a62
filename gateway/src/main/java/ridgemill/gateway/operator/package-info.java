/**
 * The operator file: what the operators of one installation decide beside what its platform tells. It is read and
 * checked as a whole before anything of it takes effect. No class of this package is loaded where no file is named.
 */
package ridgemill.gateway.operator;

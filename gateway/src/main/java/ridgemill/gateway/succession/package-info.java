/**
 * Files in the temporary directory by which the processes of one proxy find each other. Not loaded without a console.
 */
package ridgemill.gateway.succession;

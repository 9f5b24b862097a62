/** What two processes of one proxy leave each other in the temporary directory. Not loaded without a console. */
package ridgemill.gateway.succession;

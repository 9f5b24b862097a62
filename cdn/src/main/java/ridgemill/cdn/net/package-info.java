/** Socket code that the programs share. */
package ridgemill.cdn.net;

/** The processes of the system and their positions among those that share limits. */
package ridgemill.cdn.membership;

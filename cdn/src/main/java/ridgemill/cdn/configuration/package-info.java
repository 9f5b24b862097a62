/** The operator's configuration as JSON: reading calls, checking them against the schema and the rules, typed items. */
package ridgemill.cdn.configuration;

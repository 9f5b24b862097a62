/** Parsing of JSON and TOML as trees. */
package ridgemill.cdn.json;

/**
 * The operator's configuration as JSON.
 *
 * <p>{@code ChangeReader} reads a call as a {@code ConfigurationChange} and checks its form against the schema;
 * {@code ChangeValidator} checks that what it leads to holds together. Either may find an {@code InvalidChange},
 * which says where and why. {@code ItemParser} makes the typed view of {@link ridgemill.cdn.config} of stored items.
 * Stores keep and merge items without reading them.
 */
package ridgemill.cdn.configuration;

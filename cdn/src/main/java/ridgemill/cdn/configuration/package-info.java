/**
 * The operator's configuration as JSON.
 *
 * <p>{@code ChangeReader} parses a request body as a {@code ConfigurationChange} and validates it against the schema;
 * {@code ChangeValidator} checks rules of single items that the schema cannot express. Both report an {@code
 * InvalidChange} with the location and the reason. {@code ConfigurationRules} checks the consistency of the resulting
 * configuration when the stores decide a change. {@code ItemParser} converts stored items to the types of {@link
 * ridgemill.cdn.config}. Apart from these checks, stores keep and merge items without parsing them.
 */
package ridgemill.cdn.configuration;

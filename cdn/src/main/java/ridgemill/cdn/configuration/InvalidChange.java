package ridgemill.cdn.configuration;

/**
 * The reason why a change of the configuration is rejected.
 *
 * @param location the invalid item or field; may be empty
 * @param reason what is wrong with it
 */
public record InvalidChange(String location, String reason) {

    /** Returns the error as one line of text. */
    public String describe() {
        return location.isEmpty() ? reason : location + ": " + reason;
    }
}

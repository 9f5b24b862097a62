package ridgemill.cdn.settings;

/**
 * The reason why settings are invalid.
 *
 * @param location the file, and the invalid field if there is one
 * @param reason what is wrong with it
 */
public record SettingsError(String location, String reason) {

    /** Returns the error as one line of text. */
    public String describe() {
        return location + ": " + reason;
    }
}

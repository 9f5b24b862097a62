package ridgemill.cdn.settings;

/**
 * Why settings can't be used.
 *
 * @param location the file, and the field where one is at fault
 * @param reason what is wrong there
 */
public record SettingsError(String location, String reason) {

    /** The error as one line of text. */
    public String describe() {
        return location + ": " + reason;
    }
}

package ridgemill.cdn.settings;

/**
 * Why settings can't be used.
 *
 * @param place the file, and the field where one is at fault
 * @param reason what is wrong there
 */
public record SettingsError(String place, String reason) {

    /** The error as one line of text. */
    public String describe() {
        return place + ": " + reason;
    }
}

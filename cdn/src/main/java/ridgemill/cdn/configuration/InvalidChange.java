package ridgemill.cdn.configuration;

/**
 * Why a change of the configuration is refused.
 *
 * @param location the item or field at fault
 * @param reason what is wrong there
 */
public record InvalidChange(String location, String reason) {

    /** The error as one line of text. */
    public String describe() {
        return location.isEmpty() ? reason : location + ": " + reason;
    }
}

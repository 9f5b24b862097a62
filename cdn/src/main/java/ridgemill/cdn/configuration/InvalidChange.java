package ridgemill.cdn.configuration;

/**
 * Why a change of the configuration is refused.
 *
 * @param place the item or field at fault
 * @param reason what is wrong there
 */
public record InvalidChange(String place, String reason) {

    /** The error as one line of text. */
    public String describe() {
        return place.isEmpty() ? reason : place + ": " + reason;
    }
}

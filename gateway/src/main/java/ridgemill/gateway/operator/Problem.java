package ridgemill.gateway.operator;

/**
 * One thing that is wrong with an operator file.
 *
 * @param file as it was named
 * @param line from 1; 0 where no line is to blame
 * @param column from 1
 * @param rule a short name of what is checked, such as {@code unknown-key}
 * @param reason what is wrong
 * @param wayOut what to do about it
 */
public record Problem(String file, int line, int column, String rule, String reason, String wayOut) {

    /** The place, in the form that editors jump to. */
    public String place() {
        return line == 0 ? file : file + ":" + line + ":" + column;
    }

    @Override
    public String toString() {
        return place() + ": " + reason + "; " + wayOut + " [" + rule + "]";
    }
}

package ridgemill.gateway.operator;

import java.util.List;
import java.util.stream.Collectors;

/** An operator file that must not take effect, with all that is wrong with it. */
public final class OperatorFileException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    OperatorFileException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Each problem, in the order of the file. */
    public List<Problem> problems() {
        return problems;
    }
}

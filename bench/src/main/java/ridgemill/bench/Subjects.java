package ridgemill.bench;

import java.util.ArrayList;
import java.util.List;

/** The proxies of one measurement, which end together. */
final class Subjects implements AutoCloseable {

    private final List<Subject> all = new ArrayList<>();

    void add(Subject subject) {
        all.add(subject);
    }

    /** In the order in which they are measured. */
    List<Subject> list() {
        return List.copyOf(all);
    }

    @Override
    public void close() {
        all.forEach(Subject::close);
    }
}

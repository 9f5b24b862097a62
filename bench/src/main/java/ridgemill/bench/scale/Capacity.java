package ridgemill.bench.scale;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Recomputes the figures of the capacity page from the points that {@link Scale} stored. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Writes the figures of docs/CAPACITY.md anew from the points that it names.")
public final class Capacity implements Callable<Integer> {

    @Option(names = "--check", description = "Change nothing; fail if the page's figures are not those of the points.")
    private boolean check;

    /** Runs it from the root of the sources. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new Capacity()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        CapacityPage page = CapacityPage.of(Path.of(""));
        if (check) {
            boolean same = page.figures().equals(page.expected());
            System.out.println(same ? "the page has the figures of its points" : "the page differs from its points");
            return same ? 0 : 1;
        }
        page.update();
        return 0;
    }
}

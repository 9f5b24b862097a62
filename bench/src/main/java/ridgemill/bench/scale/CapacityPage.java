package ridgemill.bench.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The capacity page: prose by hand, and figures between two marks, the first of which names the run. */
final class CapacityPage {

    private static final String BEGIN = "<!-- figures of ";
    private static final String BEGIN_END = " -->\n";
    private static final String END = "<!-- end of figures -->";

    private final Path root;
    private final Path file;
    private final String page;

    private CapacityPage(Path root) throws IOException {
        this.root = root;
        this.file = root.resolve("docs/CAPACITY.md");
        this.page = Files.readString(file);
    }

    /** The page of the sources at a root. */
    static CapacityPage of(Path root) throws IOException {
        return new CapacityPage(root);
    }

    /** Where the points are that the page names. */
    Path points() throws IOException {
        int begin = page.indexOf(BEGIN);
        int end = page.indexOf(BEGIN_END, begin);
        if (begin < 0 || end < 0 || !page.contains(END)) {
            throw new IOException(file + " has no marks around its figures");
        }
        return root.resolve(page.substring(begin + BEGIN.length(), end));
    }

    /** The figures as the page has them. */
    String figures() throws IOException {
        points();
        return page.substring(figuresBegin(), page.indexOf(END));
    }

    private int figuresBegin() {
        return page.indexOf(BEGIN_END, page.indexOf(BEGIN)) + BEGIN_END.length();
    }

    /** The figures as the stored points have them. */
    String expected() throws IOException {
        return CapacityTables.render(ScaleFile.read(points())) + "\n";
    }

    /** Writes the figures of the stored points into the page. */
    void update() throws IOException {
        String updated = page.substring(0, figuresBegin()) + expected() + page.substring(page.indexOf(END));
        Files.writeString(file, updated);
    }
}

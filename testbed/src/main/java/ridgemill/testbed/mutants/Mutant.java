package ridgemill.testbed.mutants;

import java.io.IOException;
import java.io.StringWriter;
import java.lang.reflect.Constructor;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;

/**
 * A package of the program with one place of its source changed, compiled anew. The program itself has no switch for it: what is
 * run is its own source but for that place, and a place that is not there, or there twice, is an error.
 *
 * @param name what is wrong with it, in words
 * @param changes each of one file: what stands there, and what stands there instead
 */
public record Mutant(String name, List<Change> changes) {

    /** One place of one file. */
    public record Change(String file, String from, String to) {}

    public Mutant {
        changes = List.copyOf(changes);
    }

    /** A mutant by one change. */
    public static Mutant of(String name, String file, String from, String to) {
        return new Mutant(name, List.of(new Change(file, from, to)));
    }

    /** The same with one more change. */
    public Mutant and(String file, String from, String to) {
        return new Mutant(
                name,
                Stream.concat(changes.stream(), Stream.of(new Change(file, from, to)))
                        .toList());
    }

    /** Compiles the package whose sources are in a folder, with this change, into another folder; the class path is this process's. */
    public void compile(Path sources, Path classes) throws IOException {
        Path changed = Files.createTempDirectory(classes, "source");
        try (Stream<Path> files = Files.list(sources)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                String text = Files.readString(file);
                for (Change c : changes) {
                    if (file.getFileName().toString().equals(c.file())) {
                        text = replaced(text, c);
                    }
                }
                Files.writeString(changed.resolve(file.getFileName().toString()), text);
            }
        }
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        StringWriter said = new StringWriter();
        try (StandardJavaFileManager manager = compiler.getStandardFileManager(null, null, null);
                Stream<Path> files = Files.list(changed)) {
            boolean good = compiler.getTask(
                            said,
                            manager,
                            null,
                            List.of(
                                    "-d",
                                    classes.toString(),
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    "-XDstringConcat=inline",
                                    "-proc:none"),
                            null,
                            manager.getJavaFileObjectsFromPaths(files.toList()))
                    .call();
            if (!good) {
                throw new IOException("the mutant '" + name + "' does not compile: " + said);
            }
        }
    }

    private String replaced(String text, Change c) {
        int at = text.indexOf(c.from());
        if (at < 0 || text.indexOf(c.from(), at + 1) >= 0) {
            throw new IllegalArgumentException("the mutant '" + name + "': " + c.file() + " has "
                    + (at < 0 ? "no " : "more than one ") + c.from());
        }
        return text.substring(0, at) + c.to() + text.substring(at + c.from().length());
    }

    /**
     * What plays find in a module that is so wrong.
     *
     * @param sources the module's
     * @param classes an empty folder
     * @param module one of the module's classes
     * @param plays with a constructor without arguments; made anew, with its package, beside the mutant, and called
     */
    public String tried(Path sources, Path classes, Class<?> module, Class<? extends Callable<String>> plays)
            throws Exception {
        compile(sources, classes);
        ClassLoader loader = loader(
                classes,
                Map.of(
                        module.getPackageName() + ".",
                        classes.toUri().toURL(),
                        plays.getPackageName() + ".",
                        plays.getProtectionDomain().getCodeSource().getLocation()));
        Class<?> anew = loader.loadClass(plays.getName());
        if (anew == plays || loader.loadClass(module.getName()) == module) {
            throw new IllegalStateException("the mutant '" + name + "' is not what is tried");
        }
        Constructor<?> made = anew.getDeclaredConstructor();
        made.setAccessible(true);
        return (String) ((Callable<?>) made.newInstance()).call();
    }

    /**
     * A loader in which the classes of some packages are this mutant's, or made anew beside them; all others are this process's.
     *
     * @param classes where the mutant was compiled to
     * @param anew prefixes of the names of classes that are made anew, with their folders
     */
    public static ClassLoader loader(Path classes, Map<String, URL> anew) throws IOException {
        URL[] urls = Stream.concat(Stream.of(classes.toUri().toURL()), anew.values().stream())
                .toArray(URL[]::new);
        return new URLClassLoader(urls, Mutant.class.getClassLoader()) {
            @Override
            protected Class<?> loadClass(String className, boolean resolve) throws ClassNotFoundException {
                synchronized (getClassLoadingLock(className)) {
                    Class<?> loaded = findLoadedClass(className);
                    if (loaded == null && anew.keySet().stream().anyMatch(className::startsWith)) {
                        loaded = findClass(className);
                    }
                    return loaded == null ? super.loadClass(className, resolve) : loaded;
                }
            }
        };
    }
}

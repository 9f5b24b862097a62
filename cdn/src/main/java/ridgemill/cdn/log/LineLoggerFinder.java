package ridgemill.cdn.log;

import java.util.Map;
import java.util.ResourceBundle;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Provides a {@link System.Logger} that writes each event as one line of key=value pairs to standard error. The logger
 * of the JDK takes much longer to start. Debug events are written if the system property {@code ridgemill.log} is
 * {@code debug}.
 */
public final class LineLoggerFinder extends System.LoggerFinder {

    private static final System.Logger.Level MIN_LEVEL =
            "debug".equals(System.getProperty("ridgemill.log")) ? System.Logger.Level.DEBUG : System.Logger.Level.INFO;

    private final Map<String, System.Logger> loggers = new ConcurrentHashMap<>();

    @Override
    public System.Logger getLogger(String name, Module module) {
        return loggers.computeIfAbsent(name, LineLogger::new);
    }

    /** A logger of one class. */
    private record LineLogger(String name) implements System.Logger {

        @Override
        public String getName() {
            return name;
        }

        @Override
        public boolean isLoggable(Level level) {
            return level.getSeverity() >= MIN_LEVEL.getSeverity();
        }

        @Override
        public void log(Level level, ResourceBundle bundle, String message, Throwable cause) {
            if (isLoggable(level)) {
                write(level, message);
                if (cause != null) {
                    cause.printStackTrace(System.err);
                }
            }
        }

        @Override
        public void log(Level level, ResourceBundle bundle, String format, Object... parameters) {
            if (isLoggable(level)) {
                boolean plain = parameters == null || parameters.length == 0;
                write(level, plain ? format : java.text.MessageFormat.format(format, parameters));
            }
        }

        private void write(Level level, String message) {
            String simpleName = name.substring(name.lastIndexOf('.') + 1);
            System.err.println("level=" + level + " source=" + simpleName + " " + message);
        }
    }
}

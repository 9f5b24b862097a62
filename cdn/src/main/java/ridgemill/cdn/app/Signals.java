package ridgemill.cdn.app;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Runs tasks when the process receives a signal. The signal API of the JVM ({@code sun.misc.Signal}) is supported but
 * not standard. The compiler warns about each direct use, and the warning cannot be suppressed, so the API is used
 * through reflection.
 */
final class Signals {

    private Signals() {}

    /** Runs a task on a separate thread at each termination signal (SIGTERM or SIGINT). */
    static void onTermination(Runnable task) {
        handle("TERM", task);
        handle("INT", task);
    }

    /** Runs a task on a separate thread at each hangup signal (SIGHUP). */
    static void onHangup(Runnable task) {
        handle("HUP", task);
    }

    private static void handle(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handling =
                    Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, new TaskHandler(task));
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), handling);
        } catch (ReflectiveOperationException missing) {
            throw new IllegalStateException("cannot install a handler for signal " + name, missing);
        }
    }

    /** Implements the signal handler: the task, and the methods of each object. */
    private record TaskHandler(Runnable task) implements InvocationHandler {

        @Override
        public Object invoke(Object self, Method method, Object[] arguments) {
            return switch (method.getName()) {
                case "hashCode" -> System.identityHashCode(self);
                case "equals" -> self == arguments[0];
                case "toString" -> "signal handler";
                default -> {
                    task.run();
                    yield null;
                }
            };
        }
    }
}

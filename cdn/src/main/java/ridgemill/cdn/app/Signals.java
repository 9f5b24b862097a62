package ridgemill.cdn.app;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Runs tasks when the process gets a signal. The Java machine's interface to signals is supported but not standard. The
 * compiler warns of each use by name, and that can't be switched off, so it is looked up by reflection.
 */
final class Signals {

    private Signals() {}

    /** Runs a task, in a thread of its own, each time the process is asked to end. */
    static void onTermination(Runnable task) {
        on("TERM", task);
        on("INT", task);
    }

    /** Runs a task, in a thread of its own, at each hangup signal. */
    static void onHangup(Runnable task) {
        on("HUP", task);
    }

    private static void on(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handling =
                    Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, new TaskHandler(task));
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), handling);
        } catch (ReflectiveOperationException missing) {
            throw new IllegalStateException("the signal " + name + " can't be handled here", missing);
        }
    }

    /** What a handler of signals does: the task, and what each object has to answer. */
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

package ridgemill.gateway;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, the usual signal to reload a configuration. Without a handler it ends the process. The JVM's signal
 * interface is supported but not standard, so it is looked up by name: the compiler warns of any other use.
 */
public final class SighupHandler {

    private SighupHandler() { }

    /** Runs {@code reload} for each signal from now on, on a thread of the JVM. */
    public static void register(Runnable reload) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            // A dynamic proxy: method handles would generate classes at each start, which a class archive cannot hold.
            Object handling = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler},
                    (self, method, given) -> switch (method.getName()) {
                        case "hashCode" -> System.identityHashCode(self);
                        case "equals" -> self == given[0];
                        case "toString" -> "reload";
                        default -> {
                            reload.run();
                            yield null;
                        }
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handling);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP cannot be handled here", e);
        }
    }
}

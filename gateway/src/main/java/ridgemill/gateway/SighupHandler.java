package ridgemill.gateway;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, the usual sign for a new configuration; unhandled it ends a process. The Java machine's interface to signals
 * is supported but not standard, so it is looked up by name: the compiler warns of any other use.
 */
public final class SighupHandler {

    private SighupHandler() { }

    /** Runs {@code reload} at each signal from now on, on a thread of the Java machine's. */
    public static void register(Runnable reload) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            // A plain proxy: method handles would spin classes at each start, which no archive holds.
            Object handling = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, (self, method, given) ->
                    switch (method.getName()) {
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

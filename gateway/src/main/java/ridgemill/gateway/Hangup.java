package ridgemill.gateway;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandleProxies;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;

/**
 * SIGHUP, the usual sign for a new configuration; unhandled it ends a process. The Java machine's interface to signals
 * is supported but not standard, so it is looked up by name: the compiler warns of any other use.
 */
public final class Hangup {

    private Hangup() { }

    /** Runs {@code reload} at each signal from now on, on a thread of the Java machine's. */
    public static void handle(Runnable reload) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            MethodHandles.Lookup lookup = MethodHandles.publicLookup();
            MethodHandle run = lookup.findVirtual(Runnable.class, "run", MethodType.methodType(void.class))
                    .bindTo(reload);
            Object handling = MethodHandleProxies.asInterfaceInstance(handler,
                    MethodHandles.dropArguments(run, 0, signal));
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handling);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP cannot be handled here", e);
        }
    }
}

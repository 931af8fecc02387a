package sagefall.proxy;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP. Without a handler, SIGHUP terminates the JVM. Java has no supported API for
 * signals. The unsupported API is accessed by reflection, because a direct use of that API causes a
 * compiler warning that cannot be suppressed.
 */
final class ReloadSignal {

    private ReloadSignal() {}

    /**
     * Installs a handler that runs the task on each SIGHUP, on a thread of its own.
     *
     * @throws ReflectiveOperationException if the JVM does not support signal handlers
     */
    static void handle(Runnable task) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object onSignal =
                Proxy.newProxyInstance(
                        ReloadSignal.class.getClassLoader(),
                        new Class<?>[] {handler},
                        // The proxy also receives calls of the methods of Object.
                        (self, method, arguments) ->
                                switch (method.getName()) {
                                    case "handle" -> {
                                        task.run();
                                        yield null;
                                    }
                                    case "equals" -> self == arguments[0];
                                    case "hashCode" -> System.identityHashCode(self);
                                    default -> "SIGHUP";
                                });
        signal.getMethod("handle", signal, handler)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), onSignal);
    }
}

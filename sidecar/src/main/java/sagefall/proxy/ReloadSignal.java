package sagefall.proxy;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which ends the runtime by default. The platform has no supported interface for
 * signals; the unsupported one is reached by reflection, since a mention of it in the source is a
 * compiler warning that nothing suppresses.
 */
final class ReloadSignal {

    private ReloadSignal() {}

    /**
     * From now on each SIGHUP runs the task, on a thread of its own.
     *
     * @throws ReflectiveOperationException if the runtime offers no signals
     */
    static void handle(Runnable task) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object onSignal =
                Proxy.newProxyInstance(
                        ReloadSignal.class.getClassLoader(),
                        new Class<?>[] {handler},
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

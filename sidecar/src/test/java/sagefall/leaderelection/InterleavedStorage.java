package sagefall.leaderelection;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import sagefall.persistence.Storage;

/** Wraps a storage so that a step runs before each call. The step may simulate another process. */
final class InterleavedStorage {

    /** A step that runs before a call to the storage. */
    interface Step {
        void run() throws IOException;
    }

    private InterleavedStorage() {}

    /** Returns a storage that runs the step and then forwards the call to the target. */
    static Storage around(Storage target, Step before) {
        return (Storage)
                Proxy.newProxyInstance(
                        Storage.class.getClassLoader(),
                        new Class<?>[] {Storage.class},
                        (proxy, method, arguments) -> {
                            before.run();
                            return call(target, method, arguments);
                        });
    }

    private static Object call(Storage target, Method method, Object[] arguments) throws Throwable {
        try {
            return method.invoke(target, arguments);
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }
}

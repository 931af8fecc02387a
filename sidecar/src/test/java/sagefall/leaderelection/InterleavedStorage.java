package sagefall.leaderelection;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import sagefall.persistence.Storage;

/** A storage that lets other processes take steps before each of its calls. */
final class InterleavedStorage {

    /** What happens before a call. */
    interface Step {
        void run() throws IOException;
    }

    private InterleavedStorage() {}

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

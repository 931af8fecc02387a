package sagefall.proxy;

/**
 * Installs the signal handlers of the process: SIGHUP reloads the configuration; SIGTERM and SIGINT
 * shut the process down through a shutdown hook.
 */
final class SignalHandlers {

    private static final int EXIT_CODE_AFTER_SIGNAL = 0;

    private final Thread shutdownHook;

    private SignalHandlers(Thread shutdownHook) {
        this.shutdownHook = shutdownHook;
    }

    /**
     * Installs the handlers.
     *
     * @param reload task that runs for each SIGHUP, on a thread of its own
     * @param shutDown task that runs once, on the thread of the shutdown hook; when the task
     *     returns, the process exits with code 0
     * @throws ReflectiveOperationException if the JVM does not support signal handlers
     */
    static SignalHandlers install(Runnable reload, Runnable shutDown)
            throws ReflectiveOperationException {
        ReloadSignal.handle(reload);
        Thread shutdownHook =
                new Thread(
                        () -> {
                            shutDown.run();
                            // Without this call, the JVM would derive the exit code from the
                            // signal.
                            Runtime.getRuntime().halt(EXIT_CODE_AFTER_SIGNAL);
                        },
                        "shutdown");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        return new SignalHandlers(shutdownHook);
    }

    /** Removes the shutdown hook, so that the process exits with its own exit code. */
    void removeShutdownHook() {
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}

package sagefall.proxy;

/**
 * The signals that the process reacts to: SIGHUP reloads the configuration, SIGTERM and SIGINT end
 * the process through the runtime's shutdown hook.
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
     * @param reload runs on a thread of its own for each SIGHUP
     * @param shutDown runs once, on the hook's thread; when it returns the process ends with exit
     *     code 0
     * @throws ReflectiveOperationException if the runtime offers no signals
     */
    static SignalHandlers install(Runnable reload, Runnable shutDown)
            throws ReflectiveOperationException {
        ReloadSignal.handle(reload);
        Thread shutdownHook =
                new Thread(
                        () -> {
                            shutDown.run();
                            // The runtime would report the signal as its exit code.
                            Runtime.getRuntime().halt(EXIT_CODE_AFTER_SIGNAL);
                        },
                        "shutdown");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        return new SignalHandlers(shutdownHook);
    }

    /** Removes the shutdown hook, so that the process ends with its own exit code. */
    void removeShutdownHook() {
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}

package sagefall.load;

/** Starts threads that do not keep the process from exiting. */
final class DaemonThreads {

    /**
     * Stack size of a thread in bytes. It is below the default size, because hundreds of threads
     * block at the same time.
     */
    private static final int STACK_BYTES = 256 * 1024;

    private DaemonThreads() {}

    /** Starts a daemon thread that runs the task. */
    static void start(Runnable task) {
        Thread thread = new Thread(null, task, "load", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    /** Sleeps. An interrupt ends the sleep and leaves the interrupt status of the thread set. */
    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

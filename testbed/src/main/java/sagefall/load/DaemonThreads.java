package sagefall.load;

/** Threads that end with the program. */
final class DaemonThreads {

    /** Hundreds of them block at a time. */
    private static final int STACK_BYTES = 256 * 1024;

    private DaemonThreads() {}

    static void start(Runnable task) {
        Thread thread = new Thread(null, task, "load", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    /** Sleeps; an interrupt ends that and stays set. */
    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

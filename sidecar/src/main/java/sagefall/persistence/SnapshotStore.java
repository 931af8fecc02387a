package sagefall.persistence;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * Keeps what discovery tells, on a thread of its own. What comes while the disk is busy is merged
 * into one change, so a stalled or full disk costs bounded memory and no request any time; once it
 * takes writes again all is written anew.
 */
public final class SnapshotStore implements AutoCloseable {

    /** How the folder is come by. */
    interface Opening {
        Storage open() throws IOException;
    }

    private static final long RETRY_MILLIS = 1_000;

    /** Longest that the end of the process waits for the last change. */
    private static final long END_MILLIS = 500;

    private final PersistenceSettings section;
    private final Consumer<String> log;
    private final CompletableFuture<EndpointSnapshot> opened = new CompletableFuture<>();
    private final Thread thread;
    private SnapshotChange pending;
    private boolean closed;

    /**
     * Opens the folder and goes on keeping, on a thread of its own; nothing here waits for a disk.
     */
    public SnapshotStore(PersistenceSettings section, String name, Consumer<String> log) {
        this(section, name, log, () -> DirectoryStorage.own(section.directory()));
    }

    SnapshotStore(PersistenceSettings section, String name, Consumer<String> log, Opening opening) {
        this.section = section;
        this.log = line -> log.accept("recovery: " + line);
        thread = new Thread(() -> run(name, opening), "keeping");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * What earlier lives kept, with the epoch of this one; null where there is none, or not in
     * time.
     */
    public EndpointSnapshot opened(long millis) throws InterruptedException {
        try {
            return opened.get(millis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            log.accept("the folder does not answer, going on without");
            return null;
        } catch (ExecutionException e) {
            log.accept("nothing is kept: " + plain(e.getCause()));
            return null;
        }
    }

    /**
     * Whether what was kept then still tells how things are, and not only what to stay away from.
     */
    public boolean fresh(EndpointSnapshot kept) {
        long age = section.wallMillis() - kept.atMillis();
        return kept.revision() > 0 && age >= 0 && age <= section.maxAgeMillis();
    }

    /** Unix time in milliseconds. */
    public long wallMillis() {
        return section.wallMillis();
    }

    /** Takes a change over; never waits. */
    public synchronized void told(SnapshotChange change) {
        pending = pending == null ? change : pending.then(change);
        notifyAll();
    }

    // After a failure any wake-up, also a spurious one, may end the wait: the retry only comes
    // sooner.
    @SuppressWarnings("WaitNotInLoop")
    private synchronized SnapshotChange next(boolean failed) throws InterruptedException {
        while (pending == null && !closed && !failed) {
            wait();
        }
        if (failed && !closed) {
            wait(RETRY_MILLIS);
        }
        SnapshotChange next = pending;
        pending = null;
        return next;
    }

    private synchronized boolean ended() {
        return closed && pending == null;
    }

    private void run(String name, Opening opening) {
        WriteAheadLog journal;
        try {
            journal =
                    WriteAheadLog.open(
                            opening.open(), name, section.maxBytes(), section.forceEach(), log);
        } catch (IOException | RuntimeException e) {
            opened.completeExceptionally(e);
            return;
        }
        opened.complete(journal.state());
        boolean failed = false;
        try {
            while (!ended()) {
                SnapshotChange next = next(failed);
                boolean before = failed;
                try {
                    if (next != null) {
                        journal.append(next);
                    } else if (before) {
                        journal.snapshot();
                    }
                    if (before) {
                        log.accept("keeping again");
                    }
                    failed = false;
                } catch (IOException e) {
                    failed = true;
                    if (!before) {
                        log.accept("can't keep what discovery tells: " + plain(e));
                    }
                    if (ended()) {
                        return;
                    }
                }
            }
            journal.close();
        } catch (InterruptedException | IOException | RuntimeException e) {
            log.accept("no longer kept: " + plain(e));
        }
    }

    private static String plain(Throwable e) {
        return String.valueOf(e.getMessage() == null ? e : e.getMessage()).replaceAll("\\s+", " ");
    }

    /** Writes what is left, if the disk takes it soon. */
    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        try {
            thread.join(END_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package sagefall.persistence;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Snapshot and write-ahead log of what is kept. A snapshot is written aside, forced, renamed, and
 * the folder forced; the log that belongs to it bears its generation in its name, so that neither
 * can be read with another's. Each record has its length, its CRC32C, and how far the log had been
 * forced when it was written: a bad record that a later one says was forced is damage, any other is
 * a tail that a power loss tore. A tail is cut; damage, a newer format, another's files and ones
 * over the bound are put aside and nothing is kept.
 *
 * <p>Each start writes a snapshot with the next epoch, so that nothing is ever appended to an old
 * log.
 */
final class WriteAheadLog implements Closeable {

    static final String STATE = "state";
    static final String LOG = "log-";
    static final String ASIDE = "aside-";
    private static final byte[] MAGIC = AtomicFile.MAGIC;
    private static final int HEAD = AtomicFile.HEAD;
    private static final long MOST_SUMMED = 64 * 1024 * 1024;

    private final Storage disk;
    private final long maxBytes;
    private final boolean forceEach;
    private EndpointSnapshot state;
    private long generation;
    private Storage.Out log;
    private long written;
    private long forced;

    /** What the files hold is not known to be whole: only a snapshot may follow. */
    private boolean broken;

    private WriteAheadLog(Storage disk, long maxBytes, boolean forceEach) {
        this.disk = disk;
        this.maxBytes = maxBytes;
        this.forceEach = forceEach;
    }

    /**
     * What is put aside and why is told in one line; the epoch is on the disk once this returns.
     */
    static WriteAheadLog open(
            Storage disk, String name, long maxBytes, boolean forceEach, Consumer<String> say)
            throws IOException {
        WriteAheadLog journal = new WriteAheadLog(disk, maxBytes, forceEach);
        EndpointSnapshot kept = EndpointSnapshot.nothing(name);
        Reading reading = new Reading(disk, maxBytes);
        try {
            kept = reading.read(name);
            if (reading.cut > 0) {
                say.accept("the last " + reading.cut + " bytes were not whole and are left out");
            }
        } catch (Unreadable e) {
            journal.putAside();
            say.accept("put aside, nothing is kept: " + e.getMessage());
            kept = new EndpointSnapshot(name, e.theirs ? 0 : reading.epoch, 0, 0, Map.of());
        }
        journal.generation = reading.newest;
        journal.state = kept.started();
        journal.snapshot();
        return journal;
    }

    EndpointSnapshot state() {
        return state;
    }

    /** Returns once the change is kept, or at least written. */
    void append(SnapshotChange change) throws IOException {
        state = state.with(change);
        byte[] body = EndpointSnapshot.bytes(change);
        boolean lost = log != null && !disk.has(LOG + generation);
        if (broken || lost || (log != null && written + HEAD + body.length > maxBytes / 2)) {
            snapshot();
            return;
        }
        broken = true;
        if (log == null) {
            log = disk.create(LOG + generation);
            log.write(MAGIC);
            log.force();
            disk.forceNames();
            written = MAGIC.length;
            forced = written;
        }
        log.write(AtomicFile.record(body, forced));
        written += HEAD + body.length;
        if (forceEach) {
            log.force();
            forced = written;
        }
        broken = false;
    }

    /** Writes all that is kept anew. */
    void snapshot() throws IOException {
        byte[] body = state.bytes(generation + 1);
        if (MAGIC.length + HEAD + body.length > maxBytes) {
            throw new IOException(
                    "what is to be kept, " + body.length + " bytes, is over the bound");
        }
        broken = true;
        closeLog();
        AtomicFile.write(disk, STATE, body);
        generation++;
        written = 0;
        forced = 0;
        broken = false;
        for (String old : disk.names()) {
            if (old.startsWith(LOG) && !old.equals(LOG + generation)) {
                disk.delete(old);
            }
        }
    }

    private void closeLog() throws IOException {
        Storage.Out old = log;
        log = null;
        if (old != null) {
            old.close();
        }
    }

    /** The last ones that were put aside are kept for whoever looks into it. */
    private void putAside() throws IOException {
        for (String name : disk.names()) {
            if (name.equals(STATE) || name.startsWith(LOG)) {
                disk.rename(name, ASIDE + (name.equals(STATE) ? STATE : "log"));
            }
        }
        disk.forceNames();
    }

    @Override
    public void close() throws IOException {
        closeLog();
        disk.close();
    }

    /** What can't be taken, and whether it is another sidecar's. */
    private static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1;
        final boolean theirs;

        Unreadable(String why, boolean theirs) {
            super(why);
            this.theirs = theirs;
        }
    }

    /** One reading of the folder. */
    private static final class Reading {
        private final Storage disk;
        private final long most;
        private long newest;
        private long epoch;
        private long cut;

        Reading(Storage disk, long most) {
            this.disk = disk;
            this.most = most;
        }

        EndpointSnapshot read(String name) throws IOException, Unreadable {
            for (String each : disk.names()) {
                if (each.matches(LOG + "[0-9]{1,18}")) {
                    newest = Math.max(newest, Long.parseLong(each.substring(LOG.length())));
                }
            }
            EndpointSnapshot kept;
            long mine;
            try {
                byte[] body = AtomicFile.read(disk, STATE, most);
                if (body == null) {
                    return EndpointSnapshot.nothing(name);
                }
                Map<String, Object> values = EndpointSnapshot.values(body);
                kept = EndpointSnapshot.kept(values);
                mine = EndpointSnapshot.number(values, "generation");
            } catch (IOException e) {
                throw new Unreadable(e.getMessage(), false);
            }
            if (!kept.name().equals(name)) {
                throw new Unreadable(STATE + " belongs to the sidecar '" + kept.name() + "'", true);
            }
            newest = Math.max(newest, mine);
            epoch = kept.epoch();
            return log(kept, LOG + mine);
        }

        private EndpointSnapshot log(EndpointSnapshot kept, String name) throws Unreadable {
            byte[] bytes;
            try {
                bytes = disk.read(name, most);
                if (bytes != null && bytes.length > MAGIC.length) {
                    AtomicFile.head(name, bytes);
                }
            } catch (IOException e) {
                throw new Unreadable(e.getMessage(), false);
            }
            if (bytes == null) {
                return kept;
            }
            if (bytes.length <= MAGIC.length) {
                // No record yet, so these bytes may not have been forced either.
                cut = bytes.length < MAGIC.length ? bytes.length : 0;
                return kept;
            }
            EndpointSnapshot now = kept;
            int at = MAGIC.length;
            for (byte[] body;
                    at < bytes.length && (body = AtomicFile.body(bytes, at)) != null;
                    at += HEAD + body.length) {
                try {
                    now = now.with(EndpointSnapshot.change(EndpointSnapshot.values(body)));
                } catch (IOException e) {
                    throw new Unreadable(name + ": " + e.getMessage(), false);
                }
            }
            if (at < bytes.length && forcedLater(bytes, at)) {
                throw new Unreadable(name + " is damaged at byte " + at, false);
            }
            cut = (long) bytes.length - at;
            return now;
        }

        /**
         * Whether any whole record after the bad one says that it had been forced. Bytes made to
         * look like many records would take for ever: past a bound they count as damage.
         */
        private static boolean forcedLater(byte[] bytes, int bad) {
            long left = MOST_SUMMED;
            for (int at = bad + 1; at <= bytes.length - HEAD && left > 0; at++) {
                ByteBuffer head = ByteBuffer.wrap(bytes, at, HEAD);
                int length = head.getInt();
                if (length > 0
                        && length <= bytes.length - at - HEAD
                        && head.getLong(at + 8) > bad) {
                    left -= length;
                    if (AtomicFile.body(bytes, at) != null) {
                        return true;
                    }
                }
            }
            return left <= 0;
        }
    }
}

package sagefall.leaderelection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.function.LongSupplier;
import sagefall.persistence.DirectoryStorage;
import sagefall.persistence.Storage;

/**
 * A lease for the processes of one machine, in a directory that they share, without any lock: a
 * process that is stopped keeps nobody out, whatever it was doing.
 *
 * <ul>
 *   <li>A term is a file, {@code term-N}, that only the first process to link it under that name
 *       gets, and that only its owner writes again. It is on the disk before anybody acts under it,
 *       so no term is granted twice.
 *   <li>An owner that renews writes its own file and then looks for a newer term; a process that
 *       takes over creates the next term's file and then looks how long the term before lasts. So
 *       either the one sees the newer term and stops, or the other sees the renewal, and waits
 *       until that has expired.
 *   <li>A value is a file for each term that wrote it; the one of the greatest term counts. An old
 *       owner that wakes up late writes a file that nobody reads.
 * </ul>
 *
 * <p>Times are of the machine's monotonic clock, which all its processes share; a grant of before
 * the machine's last start has expired. Not thread-safe: one object for each thread.
 */
public final class DirectoryLeaseStore implements LeaseStore {

    private static final String TERM_PREFIX = "term-";
    private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");

    /** Stands for the machine's start where the system has no id for it. */
    private static final String UNKNOWN_BOOT_ID = "";

    private final LeaseDirectory directory;
    private final LongSupplier nanoClock;
    private final String bootId;

    /** Opens the directory; creates it where there is none. */
    public DirectoryLeaseStore(Path directory) throws IOException {
        this(
                DirectoryStorage.openShared(directory),
                System::nanoTime,
                readBootId(),
                String.valueOf(ProcessHandle.current().pid()));
    }

    /**
     * A store in any storage.
     *
     * @param nanoClock that all processes of the machine share
     * @param bootId of the machine's start
     * @param writer differs between the processes that use the storage at a time
     */
    DirectoryLeaseStore(Storage storage, LongSupplier nanoClock, String bootId, String writer) {
        directory = new LeaseDirectory(storage, writer);
        this.nanoClock = nanoClock;
        this.bootId = bootId;
    }

    private static String readBootId() {
        try {
            return Files.readString(BOOT_ID_FILE).trim();
        } catch (IOException e) {
            return UNKNOWN_BOOT_ID;
        }
    }

    @Override
    public LeaseStatus status() throws IOException {
        List<PastTerm> past = new ArrayList<>();
        for (long number : directory.numberedFiles(TERM_PREFIX).keySet()) {
            LeaseTerm term = readTerm(number);
            if (term != null) {
                past.add(new PastTerm(term.number(), term.owner(), term.atMillis()));
            }
        }
        return new LeaseStatus(grantOf(newestTerm()), past);
    }

    @Override
    public LeaseGrant acquire(String owner, long leaseNanos) throws IOException {
        LeaseTerm before = newestTerm();
        if (remainingNanos(before) > 0) {
            return grantOf(before);
        }
        LeaseTerm own =
                new LeaseTerm(
                        before.number() + 1,
                        owner,
                        bootId,
                        nanoClock.getAsLong() + leaseNanos,
                        System.currentTimeMillis());
        if (!directory.createExclusively(fileOf(own), LeaseTermCodec.encode(own))) {
            return grantOf(newestTerm());
        }
        // The owner of the term before may have renewed until the file was created.
        long waitNanos = remainingNanosAfterRenewal(before);
        if (waitNanos > 0) {
            own = own.withUntilNanos(nanoClock.getAsLong() + waitNanos + leaseNanos);
            writeTerm(own);
        }
        directory.cleanUp(TERM_PREFIX, own.number());
        LeaseTerm newest = newestTerm();
        if (newest.number() != own.number()) {
            return grantOf(newest);
        }
        return new LeaseGrant(own.number(), owner, remainingNanos(own), waitNanos);
    }

    @Override
    public LeaseGrant renew(String owner, long term, long leaseNanos) throws IOException {
        LeaseTerm newest = newestTerm();
        if (newest.number() != term
                || !newest.owner().equals(owner)
                || !newest.bootId().equals(bootId)) {
            return grantOf(newest);
        }
        writeTerm(newest.withUntilNanos(nanoClock.getAsLong() + leaseNanos));
        return grantOf(newestTerm());
    }

    @Override
    public void release(String owner, long term) throws IOException {
        LeaseTerm newest = newestTerm();
        if (newest.number() == term && newest.owner().equals(owner)) {
            writeTerm(newest.released(bootId));
        }
    }

    @Override
    public boolean publish(long term, String name, byte[] body) throws IOException {
        if (newestTerm().number() != term) {
            return false;
        }
        String prefix = valuePrefix(name);
        directory.write(prefix + term, body);
        directory.cleanUp(prefix, term);
        return true;
    }

    @Override
    public FencedValue read(String name) throws IOException {
        while (true) {
            SortedMap<Long, String> values = directory.numberedFiles(valuePrefix(name));
            if (values.isEmpty()) {
                return null;
            }
            long term = values.lastKey();
            byte[] body = directory.read(values.get(term));
            // If it is gone since, another process has cleaned up, so there is a newer one.
            if (body != null) {
                return new FencedValue(term, body);
            }
        }
    }

    private static String valuePrefix(String name) {
        return name + "-";
    }

    private LeaseTerm newestTerm() throws IOException {
        while (true) {
            SortedMap<Long, String> terms = directory.numberedFiles(TERM_PREFIX);
            if (terms.isEmpty()) {
                return LeaseTerm.none(bootId);
            }
            LeaseTerm newest = readTerm(terms.lastKey());
            // If it is gone since, another process has cleaned up, so there is a newer one.
            if (newest != null) {
                return newest;
            }
        }
    }

    private long remainingNanosAfterRenewal(LeaseTerm before) throws IOException {
        LeaseTerm renewed = before.number() == 0 ? before : readTerm(before.number());
        return renewed == null ? 0 : Math.max(0, remainingNanos(renewed));
    }

    private long remainingNanos(LeaseTerm term) {
        boolean isOfThisBoot = term.bootId().equals(bootId);
        return isOfThisBoot ? term.untilNanos() - nanoClock.getAsLong() : 0;
    }

    private LeaseGrant grantOf(LeaseTerm term) {
        return new LeaseGrant(term.number(), term.owner(), remainingNanos(term), 0);
    }

    private static String fileOf(LeaseTerm term) {
        return TERM_PREFIX + term.number();
    }

    private void writeTerm(LeaseTerm term) throws IOException {
        directory.write(fileOf(term), LeaseTermCodec.encode(term));
    }

    /** Null where there is no such term. */
    private LeaseTerm readTerm(long number) throws IOException {
        String file = TERM_PREFIX + number;
        byte[] body = directory.read(file);
        return body == null ? null : LeaseTermCodec.decode(file, number, body);
    }
}

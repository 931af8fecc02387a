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
 * Stores a lease in a directory that the processes of one machine share. The store uses no lock, so
 * a process that is suspended during an operation does not block the other processes.
 *
 * <ul>
 *   <li>Each term has a file, {@code term-N}. The term is granted to the first process that links a
 *       file under that name. After that, only the term's leader writes the file, to extend or
 *       release the term. The file is on the disk before the leader acts under the term, so no term
 *       is granted twice.
 *   <li>A leader that renews writes the file of its term and then looks for a newer term. A process
 *       that takes over creates the file of the next term and then checks when the previous term
 *       expires. Therefore one of two things happens: the former leader sees the newer term and
 *       stops, or the new leader sees the renewal and waits until the renewed term has expired.
 *   <li>A published value has one file for each term in which a leader published the value. Readers
 *       use the file of the greatest term. A former leader that resumes after a suspension may
 *       write the file of its own term. Readers ignore that file once a file of a greater term
 *       exists.
 * </ul>
 *
 * <p>Expiry times refer to the machine's monotonic clock, which all processes of the machine share.
 * A grant from before the machine's last boot is treated as expired. Not thread-safe: each thread
 * needs its own instance.
 */
public final class DirectoryLeaseStore implements LeaseStore {

    private static final String TERM_PREFIX = "term-";
    private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");

    /** Boot id used on systems that provide no boot id. */
    private static final String UNKNOWN_BOOT_ID = "";

    private final LeaseDirectory directory;
    private final LongSupplier nanoClock;
    private final String bootId;

    /** Creates a store in the given directory. Creates the directory if it does not exist. */
    public DirectoryLeaseStore(Path directory) throws IOException {
        this(
                DirectoryStorage.openShared(directory),
                System::nanoTime,
                readBootId(),
                String.valueOf(ProcessHandle.current().pid()));
    }

    /**
     * Creates a store on the given storage.
     *
     * @param nanoClock monotonic clock that all processes of the machine share
     * @param bootId id of the machine's current boot
     * @param writer suffix of temporary file names, unique among the processes that use the storage
     *     at the same time
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
                past.add(new PastTerm(term.number(), term.leader(), term.grantedAtMillis()));
            }
        }
        return new LeaseStatus(grantOf(newestTerm()), past);
    }

    @Override
    public LeaseGrant acquire(String candidate, long leaseNanos) throws IOException {
        LeaseTerm previous = newestTerm();
        if (remainingNanos(previous) > 0) {
            return grantOf(previous);
        }
        LeaseTerm own =
                new LeaseTerm(
                        previous.number() + 1,
                        candidate,
                        bootId,
                        nanoClock.getAsLong() + leaseNanos,
                        System.currentTimeMillis());
        if (!directory.createExclusively(fileName(own), LeaseTermCodec.encode(own))) {
            return grantOf(newestTerm());
        }
        // The previous leader may have renewed its term before the new file was created.
        long waitNanos = remainingNanosAfterRenewal(previous);
        if (waitNanos > 0) {
            own = own.withExpiresAtNanos(nanoClock.getAsLong() + waitNanos + leaseNanos);
            writeTerm(own);
        }
        directory.cleanUp(TERM_PREFIX, own.number());
        LeaseTerm newest = newestTerm();
        if (newest.number() != own.number()) {
            return grantOf(newest);
        }
        return new LeaseGrant(own.number(), candidate, remainingNanos(own), waitNanos);
    }

    @Override
    public LeaseGrant renew(String leader, long term, long leaseNanos) throws IOException {
        LeaseTerm newest = newestTerm();
        if (newest.number() != term
                || !newest.leader().equals(leader)
                || !newest.bootId().equals(bootId)) {
            return grantOf(newest);
        }
        writeTerm(newest.withExpiresAtNanos(nanoClock.getAsLong() + leaseNanos));
        return grantOf(newestTerm());
    }

    @Override
    public void release(String leader, long term) throws IOException {
        LeaseTerm newest = newestTerm();
        if (newest.number() == term && newest.leader().equals(leader)) {
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
            // Null means that a cleanup has deleted the file, so the file of a newer term exists.
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
            // Null means that a cleanup has deleted the file, so the file of a newer term exists.
            if (newest != null) {
                return newest;
            }
        }
    }

    /**
     * Reads a term again, because its leader may have renewed it. Returns the time until the term
     * expires, in nanoseconds; 0 if the term has expired or has no file.
     */
    private long remainingNanosAfterRenewal(LeaseTerm term) throws IOException {
        LeaseTerm renewed = term.number() == 0 ? term : readTerm(term.number());
        return renewed == null ? 0 : Math.max(0, remainingNanos(renewed));
    }

    /**
     * Returns the time until a term expires, in nanoseconds; 0 or negative if the term has expired.
     */
    private long remainingNanos(LeaseTerm term) {
        boolean isOfCurrentBoot = term.bootId().equals(bootId);
        return isOfCurrentBoot ? term.expiresAtNanos() - nanoClock.getAsLong() : 0;
    }

    private LeaseGrant grantOf(LeaseTerm term) {
        return new LeaseGrant(term.number(), term.leader(), remainingNanos(term), 0);
    }

    private static String fileName(LeaseTerm term) {
        return TERM_PREFIX + term.number();
    }

    private void writeTerm(LeaseTerm term) throws IOException {
        directory.write(fileName(term), LeaseTermCodec.encode(term));
    }

    /** Returns the term with the given number, or null if the term has no file. */
    private LeaseTerm readTerm(long number) throws IOException {
        String file = TERM_PREFIX + number;
        byte[] body = directory.read(file);
        return body == null ? null : LeaseTermCodec.decode(file, number, body);
    }
}

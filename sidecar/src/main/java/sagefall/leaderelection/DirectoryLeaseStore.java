package sagefall.leaderelection;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sagefall.config.Json;
import sagefall.persistence.AtomicFile;
import sagefall.persistence.DirectoryStorage;
import sagefall.persistence.Storage;

/**
 * A lease for the processes of one machine, in a folder that they share, without any lock: a
 * process that is stopped keeps nobody out, whatever it was about.
 *
 * <ul>
 *   <li>A term is a file, {@code term-N}, that only the first to name it gets (a hard link), and
 *       that only its owner writes again. It is on the disk before anybody acts under it, so none
 *       comes twice.
 *   <li>Who renews writes its own file and then looks for a newer term; who takes the next term
 *       makes its file and then looks how long the one before lasts. So either the one sees the
 *       newer term and stops, or the other sees what was renewed, and waits until that has ended.
 *   <li>A value is a file for each term that wrote it; the one of the greatest term counts. An old
 *       owner that wakes up late writes a file that nobody reads.
 * </ul>
 *
 * <p>Times are of the machine's monotonic clock, which all its processes share; a grant of before
 * the machine's last start has ended.
 */
public final class DirectoryLeaseStore implements LeaseStore {

    private static final String TERM = "term-";
    private static final int MOST = 4 * 1024 * 1024;
    private static final int MOST_PAST = 32;
    private static final Pattern LEFT = Pattern.compile(".+\\.next-([0-9]{1,18})");
    private static final Path BOOT = Path.of("/proc/sys/kernel/random/boot_id");
    private static final CBORFactory CBOR = new CBORFactory();

    private final Storage disk;
    private final LongSupplier nanos;
    private final String boot;

    /** Between two of this process's own files while they are written. */
    private final String word;

    private record Term(long number, String owner, String boot, long untilNanos, long atMillis) {}

    /** Makes the folder where there is none. */
    public DirectoryLeaseStore(Path folder) throws IOException {
        this(
                DirectoryStorage.shared(folder),
                System::nanoTime,
                boot(),
                String.valueOf(ProcessHandle.current().pid()));
    }

    DirectoryLeaseStore(Storage disk, LongSupplier nanos, String boot, String word) {
        this.disk = disk;
        this.nanos = nanos;
        this.boot = boot;
        this.word = "-" + word;
    }

    private static String boot() {
        try {
            return Files.readString(BOOT).trim();
        } catch (IOException e) {
            return "";
        }
    }

    /** The numbers of the files of that kind, in order, with their names. */
    private SortedMap<Long, String> files(String kind) throws IOException {
        SortedMap<Long, String> files = new TreeMap<>();
        for (String name : disk.names()) {
            if (name.startsWith(kind) && name.substring(kind.length()).matches("[0-9]{1,18}")) {
                files.put(Long.parseLong(name.substring(kind.length())), name);
            }
        }
        return files;
    }

    private Term newest() throws IOException {
        while (true) {
            SortedMap<Long, String> terms = files(TERM);
            if (terms.isEmpty()) {
                return new Term(0, "", boot, 0, 0);
            }
            Term newest = term(terms.lastKey());
            // Gone since: an old one that somebody tidied away, so there is a newer one.
            if (newest != null) {
                return newest;
            }
        }
    }

    private long left(Term t) {
        return t.boot.equals(boot) ? t.untilNanos - nanos.getAsLong() : 0;
    }

    private LeaseGrant grant(Term t) {
        return new LeaseGrant(t.number, t.owner, left(t), 0);
    }

    @Override
    public Status status() throws IOException {
        List<Past> past = new ArrayList<>();
        for (long number : files(TERM).keySet()) {
            Term t = term(number);
            if (t != null) {
                past.add(new Past(t.number, t.owner, t.atMillis));
            }
        }
        return new Status(grant(newest()), past);
    }

    @Override
    public LeaseGrant acquire(String owner, long leaseNanos) throws IOException {
        Term before = newest();
        if (left(before) > 0) {
            return grant(before);
        }
        Term mine =
                new Term(
                        before.number + 1,
                        owner,
                        boot,
                        nanos.getAsLong() + leaseNanos,
                        System.currentTimeMillis());
        if (!AtomicFile.first(disk, TERM + mine.number, bytes(mine), word)) {
            return grant(newest());
        }
        Term again = before.number == 0 ? before : term(before.number);
        long wait = again == null ? 0 : Math.max(0, left(again));
        if (wait > 0) {
            mine =
                    new Term(
                            mine.number,
                            owner,
                            boot,
                            nanos.getAsLong() + wait + leaseNanos,
                            mine.atMillis);
            AtomicFile.write(disk, TERM + mine.number, bytes(mine), word);
        }
        tidy(TERM, mine.number);
        Term newest = newest();
        return newest.number == mine.number
                ? new LeaseGrant(mine.number, owner, left(mine), wait)
                : grant(newest);
    }

    @Override
    public LeaseGrant renew(String owner, long term, long leaseNanos) throws IOException {
        Term newest = newest();
        if (newest.number != term || !newest.owner.equals(owner) || !newest.boot.equals(boot)) {
            return grant(newest);
        }
        AtomicFile.write(
                disk,
                TERM + term,
                bytes(new Term(term, owner, boot, nanos.getAsLong() + leaseNanos, newest.atMillis)),
                word);
        return grant(newest());
    }

    @Override
    public void release(String owner, long term) throws IOException {
        Term newest = newest();
        if (newest.number == term && newest.owner.equals(owner)) {
            AtomicFile.write(
                    disk, TERM + term, bytes(new Term(term, "", boot, 0, newest.atMillis)), word);
        }
    }

    @Override
    public boolean publish(long term, String name, byte[] body) throws IOException {
        if (newest().number != term) {
            return false;
        }
        AtomicFile.write(disk, name + "-" + term, body, word);
        tidy(name + "-", term);
        return true;
    }

    @Override
    public Value read(String name) throws IOException {
        while (true) {
            SortedMap<Long, String> values = files(name + "-");
            if (values.isEmpty()) {
                return null;
            }
            byte[] body = AtomicFile.read(disk, values.get(values.lastKey()), MOST);
            if (body != null) {
                return new Value(values.lastKey(), body);
            }
        }
    }

    /**
     * What is far behind the newest goes; an old owner may bring it back, and nobody reads it. So
     * does what a process that has died was about to write.
     */
    private void tidy(String kind, long newest) throws IOException {
        for (String name : disk.names()) {
            Matcher left = LEFT.matcher(name);
            if (left.matches() && ProcessHandle.of(Long.parseLong(left.group(1))).isEmpty()) {
                disk.delete(name);
            }
        }
        for (Map.Entry<Long, String> old : files(kind).headMap(newest - MOST_PAST).entrySet()) {
            disk.delete(old.getValue());
        }
    }

    // ---- As bytes

    private static byte[] bytes(Term t) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator to = CBOR.createGenerator(out)) {
            to.writeStartObject();
            to.writeStringField("owner", t.owner);
            to.writeStringField("boot", t.boot);
            to.writeNumberField("until_ns", t.untilNanos);
            to.writeNumberField("at_ms", t.atMillis);
            to.writeEndObject();
        }
        return out.toByteArray();
    }

    private Term term(long number) throws IOException {
        byte[] body = AtomicFile.read(disk, TERM + number, MOST);
        if (body == null) {
            return null;
        }
        Map<String, Object> m;
        try (JsonParser parser = CBOR.createParser(body)) {
            m = Json.document(parser);
        }
        if (!(m.get("owner") instanceof String owner) || !(m.get("boot") instanceof String on)) {
            throw new IOException(TERM + number + " is no term");
        }
        return new Term(number, owner, on, Json.whole(m, "until_ns", 0), Json.whole(m, "at_ms", 0));
    }
}

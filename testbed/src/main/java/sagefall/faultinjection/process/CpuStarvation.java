package sagefall.faultinjection.process;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * How long a process waited for a processor core, by the scheduler statistics that Linux keeps of
 * each thread: on a busy machine a member is late through no fault of its own, and an invariant has
 * to allow for that. Used by one thread.
 */
public final class CpuStarvation {

    private final Map<String, Long> waitedNanos = new HashMap<>();

    /**
     * Nanoseconds that the worst of the threads of a process waited since the previous call; 0 if
     * that is not known.
     */
    public long nanosSinceLastCall(long pid) {
        long longest = 0;
        try (DirectoryStream<Path> tasks =
                Files.newDirectoryStream(Path.of("/proc/" + pid + "/task"))) {
            for (Path task : tasks) {
                String[] figures = Files.readString(task.resolve("schedstat")).trim().split(" ", 0);
                long now = Long.parseLong(figures[1]);
                Long before = waitedNanos.put(task.toString(), now);
                longest = Math.max(longest, before == null ? 0 : now - before);
            }
        } catch (IOException | RuntimeException e) {
            // The process or one of its threads has ended meanwhile, or the system keeps no
            // account.
            return longest;
        }
        return longest;
    }
}

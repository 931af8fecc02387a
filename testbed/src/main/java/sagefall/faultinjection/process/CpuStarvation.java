package sagefall.faultinjection.process;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * Measures how long the threads of a process waited for a CPU core. Reads the scheduler statistics
 * that Linux keeps for each thread. On a busy machine, a process under test may be late merely
 * because no core was free. The invariants have to allow for such delays. Not thread-safe.
 */
public final class CpuStarvation {

    private final Map<String, Long> waitedNanos = new HashMap<>();

    /**
     * Returns the longest time in nanoseconds that any one thread of a process has waited for a CPU
     * core since the previous call. A thread whose statistics no previous call has read is ignored.
     * If the statistics of a thread can't be read, returns the longest wait found until then, or 0
     * if there is none.
     */
    public long longestWaitNanos(long pid) {
        long longest = 0;
        try (DirectoryStream<Path> tasks =
                Files.newDirectoryStream(Path.of("/proc/" + pid + "/task"))) {
            for (Path task : tasks) {
                String[] fields = Files.readString(task.resolve("schedstat")).trim().split(" ", 0);
                long now = Long.parseLong(fields[1]);
                Long before = waitedNanos.put(task.toString(), now);
                longest = Math.max(longest, before == null ? 0 : now - before);
            }
        } catch (IOException | RuntimeException e) {
            // The process or a thread exited before its statistics were read, or the system has no
            // such statistics.
            return longest;
        }
        return longest;
    }
}

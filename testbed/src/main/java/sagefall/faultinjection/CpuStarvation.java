package sagefall.faultinjection;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * How long a process waited for a core, by Linux's own account of each of its threads: on a busy
 * machine a member is late for no fault of its own, and whoever judges it has to know by how much.
 */
final class CpuStarvation {

    private final Map<String, Long> waited = new HashMap<>();

    /**
     * Nanoseconds that the worst of a process's threads waited since the last look, 0 if untold.
     */
    long since(long pid) {
        long most = 0;
        try (DirectoryStream<Path> tasks =
                Files.newDirectoryStream(Path.of("/proc/" + pid + "/task"))) {
            for (Path task : tasks) {
                String[] figures = Files.readString(task.resolve("schedstat")).trim().split(" ", 0);
                long now = Long.parseLong(figures[1]);
                Long before = waited.put(task.toString(), now);
                most = Math.max(most, before == null ? 0 : now - before);
            }
        } catch (IOException | RuntimeException e) {
            // The process or one of its threads has ended meanwhile, or the system keeps no
            // account.
            return most;
        }
        return most;
    }
}

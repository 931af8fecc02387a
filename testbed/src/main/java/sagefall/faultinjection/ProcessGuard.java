package sagefall.faultinjection;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Sees to it that nothing outlives the rig, not even one that is killed: a shell that is told the
 * id of each process at its start and its end, and that kills those still running once the rig is
 * gone. Signals go through it too, as starting a program for each would cost more than the signal.
 */
final class ProcessGuard implements AutoCloseable {

    private static final String WATCH =
            "trap '' INT TERM HUP; all=' '; while read -r what pid; do case "
                    + "$what in "
                    + "add) all=\"$all$pid \";; del) all=\"${all%% $pid *} ${all#* $pid }\";; "
                    + "*) kill -s $what $pid 2>/dev/null;; esac; done; "
                    + "for pid in $all; do kill -9 \"$pid\" 2>/dev/null; done";

    private final Process shell;
    private final OutputStream to;

    ProcessGuard() throws IOException {
        shell =
                new ProcessBuilder("/bin/sh", "-c", WATCH)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start();
        to = shell.getOutputStream();
    }

    /** From now on it would be killed, until it has ended. */
    void watch(Process process) throws IOException {
        tell("add " + process.pid());
        process.onExit()
                .thenRun(
                        () -> {
                            try {
                                tell("del " + process.pid());
                            } catch (IOException e) {
                                // The guard has done its work.
                            }
                        });
    }

    /** Sends a signal, such as STOP, to a process that it watches. */
    void signal(String name, Process process) throws IOException {
        if (process.isAlive()) {
            tell(name + " " + process.pid());
        }
    }

    private synchronized void tell(String line) throws IOException {
        to.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
        to.flush();
    }

    /** Whatever it still watches is killed. */
    @Override
    public void close() throws IOException {
        to.close();
        shell.onExit().join();
    }
}

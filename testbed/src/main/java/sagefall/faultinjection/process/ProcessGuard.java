package sagefall.faultinjection.process;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Ensures that no child process outlives this one, even if this one is killed: a shell that reads
 * the id of each process at its start and its end, and that kills those still running once its
 * standard input is closed. Signals go through it too, as starting a program for each would cost
 * more than the signal.
 */
public final class ProcessGuard implements AutoCloseable {

    private static final String WATCH =
            "trap '' INT TERM HUP; all=' '; while read -r what pid; do case "
                    + "$what in "
                    + "add) all=\"$all$pid \";; del) all=\"${all%% $pid *} ${all#* $pid }\";; "
                    + "*) kill -s $what $pid 2>/dev/null;; esac; done; "
                    + "for pid in $all; do kill -9 \"$pid\" 2>/dev/null; done";

    private final Process shell;
    private final OutputStream to;

    /** Starts the shell. */
    public ProcessGuard() throws IOException {
        shell =
                new ProcessBuilder("/bin/sh", "-c", WATCH)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start();
        to = shell.getOutputStream();
    }

    /** Has a process killed with the others, until it has ended. */
    public void watch(Process process) throws IOException {
        send("add " + process.pid());
        process.onExit()
                .thenRun(
                        () -> {
                            try {
                                send("del " + process.pid());
                            } catch (IOException e) {
                                // The shell has ended already.
                            }
                        });
    }

    /** Sends a signal, such as STOP, to a process that it watches. */
    public void signal(String name, Process process) throws IOException {
        if (process.isAlive()) {
            send(name + " " + process.pid());
        }
    }

    private synchronized void send(String line) throws IOException {
        to.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
        to.flush();
    }

    /** Kills whatever it still watches. */
    @Override
    public void close() throws IOException {
        to.close();
        shell.onExit().join();
    }
}

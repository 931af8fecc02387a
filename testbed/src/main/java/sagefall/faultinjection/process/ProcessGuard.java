package sagefall.faultinjection.process;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Ensures that no child process outlives this process, even if this process is killed. A shell
 * process is notified of the start and exit of each child. Once the standard input of the shell is
 * closed, the shell kills the remaining children. The shell also sends signals to children, because
 * starting a program for each signal would cost more.
 */
public final class ProcessGuard implements AutoCloseable {

    /**
     * Shell script that reads lines of the form "add PID", "del PID" or "SIGNAL PID". The shell
     * ignores INT, TERM and HUP, so that it outlives this process.
     */
    private static final String SCRIPT =
            "trap '' INT TERM HUP; all=' '; while read -r what pid; do case "
                    + "$what in "
                    + "add) all=\"$all$pid \";; del) all=\"${all%% $pid *} ${all#* $pid }\";; "
                    + "*) kill -s $what $pid 2>/dev/null;; esac; done; "
                    + "for pid in $all; do kill -9 \"$pid\" 2>/dev/null; done";

    private final Process shell;
    private final OutputStream shellInput;

    /** Starts the shell. */
    public ProcessGuard() throws IOException {
        shell =
                new ProcessBuilder("/bin/sh", "-c", SCRIPT)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start();
        shellInput = shell.getOutputStream();
    }

    /**
     * Adds a process to the watched processes. The watched processes are killed when this process
     * exits. A watched process is removed once it has exited.
     */
    public void watch(Process process) throws IOException {
        send("add " + process.pid());
        process.onExit()
                .thenRun(
                        () -> {
                            try {
                                send("del " + process.pid());
                            } catch (IOException e) {
                                // The shell has already exited.
                            }
                        });
    }

    /** Sends a signal, such as STOP, to a watched process. */
    public void signal(String name, Process process) throws IOException {
        if (process.isAlive()) {
            send(name + " " + process.pid());
        }
    }

    private synchronized void send(String line) throws IOException {
        shellInput.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
        shellInput.flush();
    }

    /** Kills all processes that are still watched. */
    @Override
    public void close() throws IOException {
        shellInput.close();
        shell.onExit().join();
    }
}

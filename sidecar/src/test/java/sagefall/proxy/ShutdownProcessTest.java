package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import sagefall.logging.LogEvent;

/** Checks what a real process has done when it exits, with a request open up to its end. */
class ShutdownProcessTest extends SocketTest {

    /** Earliest time of SIGKILL after SIGTERM, with a longest deadline of 0.7 s. */
    private static final long KILL_MILLIS = 1_400;

    private static final long CLIENT_MILLIS = 10_000;

    /** A hanging request kept the process up to SIGKILL, which left the lease and the list. */
    @Test
    void leaseIsReleasedAndLatestListIsPersistedBeforeKill() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness =
                harness(server).withConfig("'deadline_us':3000000", "'deadline_us':700000");
        String extensions =
                "{'recovery':{'directory':'FOLDER/own'},'duties':{'directory':'FOLDER/shared'}}"
                        .replace("FOLDER", folder.toString());
        SidecarProgram program = closeAfterTest(new SidecarProgram(harness));
        program.withExtensions(extensions).start();
        TestClient client = closeAfterTest(program.connect()).book("x", CLIENT_MILLIS);
        server.take();
        while (program.logged(LogEvent.LEASE_ACQUIRED).isEmpty()) {
            Thread.sleep(20);
        }
        long signalNanos = System.nanoTime();
        program.terminate();
        harness.publishEndpoints(2, SidecarHarness.list(2, false, "terminating", server));
        assertEquals(504, client.readResponse().status());
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalNanos);
        assertTrue(!program.keepsRunningFor(KILL_MILLIS - elapsedMillis), "still running");
        program.assertExitCode(0);
        assertNotEquals("", program.logged(LogEvent.LEASE_RELEASED));
        String end = program.logged(LogEvent.SHUTDOWN_ENDED);
        assertTrue(end.contains("shortened_deadlines=1"), end);
        SidecarProgram next = closeAfterTest(new SidecarProgram(harness));
        next.withExtensions(extensions).start();
        while (next.logged(LogEvent.SNAPSHOT_RECOVERED).isEmpty()) {
            assertTrue(next.keepsRunningFor(20), "the next process has exited");
        }
        String recovered = next.logged(LogEvent.SNAPSHOT_RECOVERED);
        assertTrue(recovered.contains("revision=2"), recovered);
    }
}

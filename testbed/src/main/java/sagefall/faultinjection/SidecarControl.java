package sagefall.faultinjection;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import sagefall.faultinjection.history.EntryKind;
import sagefall.load.SidecarChildProcess;

/**
 * Controls the process of one sidecar: its starts, its planned restarts, and the faults that kill
 * or suspend it. Used on the event loop of the run, except for {@link #start} and the measurements.
 */
final class SidecarControl {

    /**
     * Maximum number of open file descriptors by which an idle sidecar may exceed its baseline, for
     * example because of its discovery watch.
     */
    private static final int IDLE_TOLERANCE_DESCRIPTORS = 4;

    /**
     * Minimum time from SIGTERM to SIGKILL, in addition to the deadline of requests, in
     * microseconds.
     */
    private static final long KILL_DELAY_MICROS = 700_000;

    /** Longer deadlines count as this one for the time of SIGKILL, in microseconds. */
    private static final long MAX_COUNTED_DEADLINE_MICROS = 3_000_000;

    /** Time after SIGTERM during which clients still open new connections, in microseconds. */
    private static final long DRAINING_DELAY_MICROS = 300_000;

    private final RunContext context;
    private final SidecarSpec spec;
    private final SidecarLauncher launcher;
    private final AgentEndpointList endpoints;
    private final ClientLoad application;
    private volatile SidecarChildProcess process;

    /** Whether the run has killed the latest process or has sent SIGTERM to it. */
    private volatile boolean exitRequested;

    private int incarnation;
    private int baselineDescriptors;
    private boolean up;
    private boolean draining;
    private ObjectNode firstList;
    private NextStart nextStart = new NextStart(false, 0);

    /**
     * Conditions for the following starts of a sidecar.
     *
     * @param staleList whether the configuration has the endpoint list of the first start instead
     *     of the current endpoint list
     * @param clockOffsetMillis offset of the wall clock that the sidecar uses, in milliseconds;
     *     positive if that clock is ahead
     */
    record NextStart(boolean staleList, long clockOffsetMillis) {}

    SidecarControl(
            RunContext context,
            SidecarSpec spec,
            SidecarLauncher launcher,
            AgentEndpointList endpoints,
            ClientLoad application) {
        this.context = context;
        this.spec = spec;
        this.launcher = launcher;
        this.endpoints = endpoints;
        this.application = application;
    }

    /** Returns whether clients may send requests. */
    boolean isUp() {
        return up;
    }

    /** Returns whether clients open no new connections because of a planned restart. */
    boolean isDraining() {
        return draining;
    }

    /** Returns the number of starts so far. */
    int incarnation() {
        return incarnation;
    }

    /** Returns the latest process. Returns null before the first start. */
    Process process() {
        return process == null ? null : process.process();
    }

    NextStart nextStart() {
        return nextStart;
    }

    void nextStart(NextStart next) {
        nextStart = next;
    }

    /**
     * Starts the process and waits until it is ready. Blocks, so it must not be called on the event
     * loop.
     */
    void start() throws IOException, InterruptedException {
        ObjectNode current = endpoints.completeList();
        firstList = firstList == null ? current : firstList;
        ObjectNode list = nextStart.staleList ? firstList : current;
        exitRequested = false;
        SidecarChildProcess started =
                launcher.start(++incarnation, list, nextStart.clockOffsetMillis);
        context.guard().watch(started.process());
        process = started;
        recordStart(started, list);
        started.process().onExit().thenAccept(this::recordExit);
        started.awaitReady();
        recordProcess("ready");
    }

    private void recordProcess(String what) {
        context.history().write(EntryKind.PROCESS, "who", spec.index(), "what", what);
    }

    private void recordExit(Process exited) {
        context.history()
                .write(
                        EntryKind.PROCESS,
                        "who",
                        spec.index(),
                        "what",
                        "exit",
                        "status",
                        exited.exitValue(),
                        "asked",
                        exitRequested);
    }

    private void recordStart(SidecarChildProcess started, ObjectNode list) {
        context.history()
                .write(
                        EntryKind.PROCESS,
                        "who",
                        spec.index(),
                        "what",
                        "start",
                        "pid",
                        started.process().pid(),
                        "build",
                        spec.checkout().toString());
        context.history()
                .write(
                        EntryKind.ENDPOINT_LIST,
                        "who",
                        spec.index(),
                        "known",
                        true,
                        "stale",
                        nextStart.staleList,
                        "rev",
                        list.path("rev").asLong(),
                        "all",
                        true,
                        "targets",
                        list.path("targets"));
    }

    /** Allows clients to send requests. */
    void markReady() {
        up = true;
        draining = false;
    }

    /**
     * Returns whether the process is idle. It is idle if it has exited, or if its number of open
     * file descriptors exceeds the baseline of {@link #recordBaseline} by at most {@link
     * #IDLE_TOLERANCE_DESCRIPTORS}.
     */
    boolean isIdle() throws IOException {
        return !process.process().isAlive()
                || process.statistics().openDescriptors()
                        <= baselineDescriptors + IDLE_TOLERANCE_DESCRIPTORS;
    }

    /**
     * Records the resources that the process uses before the first request. They are the baseline.
     */
    void recordBaseline() throws IOException {
        baselineDescriptors = process.statistics().openDescriptors();
        recordResources("before");
    }

    /** Records the resources that the process uses after the last request. */
    void recordFinalResources() throws IOException {
        recordResources("after");
    }

    private void recordResources(String when) throws IOException {
        context.history()
                .write(
                        EntryKind.REST,
                        "who",
                        spec.index(),
                        "when",
                        when,
                        "descriptors",
                        process.statistics().openDescriptors(),
                        "rss_kib",
                        process.statistics().statusKib("VmRSS"));
    }

    /**
     * Kills the process by SIGKILL, and starts a new one {@code downMicros} later. Has no effect
     * while the sidecar is down.
     */
    void kill(long downMicros) {
        if (!up) {
            return;
        }
        up = false;
        exitRequested = true;
        recordProcess("kill");
        process.process().destroyForcibly();
        scheduleStart(downMicros);
    }

    private void scheduleStart(long downMicros) {
        context.eventLoop()
                .queue()
                .scheduleAfter(
                        downMicros, () -> context.tasks().runInBackground(this::startAfterExit));
    }

    private void startAfterExit() throws IOException, InterruptedException {
        process.process().onExit().join();
        start();
        context.eventLoop().run(this::markReady);
    }

    /**
     * Performs a planned restart. Sends SIGTERM, and after {@link #DRAINING_DELAY_MICROS} stops
     * clients from opening new connections. Sends SIGKILL at the earliest time that the protocol
     * allows, if the process has not exited. Starts a new process {@code downMicros} after the old
     * process has exited. Has no effect while the sidecar is down.
     */
    void restart(long downMicros) {
        if (!up) {
            return;
        }
        exitRequested = true;
        recordProcess("term");
        process.process().destroy();
        context.eventLoop().queue().scheduleAfter(DRAINING_DELAY_MICROS, () -> draining = true);
        SidecarChildProcess terminated = process;
        context.eventLoop()
                .queue()
                .scheduleAfter(
                        Math.min(
                                        context.requestClass().deadlineMicros(),
                                        MAX_COUNTED_DEADLINE_MICROS)
                                + KILL_DELAY_MICROS,
                        () -> killIfRunning(terminated.process()));
        process.process()
                .onExit()
                .thenRun(
                        () ->
                                context.eventLoop()
                                        .run(
                                                () -> {
                                                    up = false;
                                                    scheduleStart(downMicros);
                                                }));
    }

    /** Sends SIGKILL to a process that has not exited after SIGTERM. */
    private void killIfRunning(Process terminated) {
        if (terminated.isAlive()) {
            recordProcess("overdue");
            terminated.destroyForcibly();
        }
    }

    /** Suspends the process by SIGSTOP. */
    void stop() throws IOException {
        recordProcess("stop");
        context.guard().signal("STOP", process.process());
    }

    /** Resumes the process by SIGCONT. */
    void resume() throws IOException {
        recordProcess("cont");
        context.guard().signal("CONT", process.process());
    }

    /** Suspends or resumes the process. */
    void setStopped(boolean stopped) throws IOException {
        if (stopped) {
            stop();
        } else {
            resume();
        }
    }

    /** Terminates the process by SIGTERM at the end of the run. */
    void terminate() {
        up = false;
        exitRequested = true;
        recordProcess("term");
        application.close();
        process.process().destroy();
    }

    /** Records that the process did not exit in time after SIGTERM. */
    void recordStuck() {
        recordProcess("stuck");
    }

    /** Kills the process if it is alive. */
    void destroy() {
        if (process != null && process.process().isAlive()) {
            recordProcess("kill");
            process.process().destroyForcibly();
        }
    }
}

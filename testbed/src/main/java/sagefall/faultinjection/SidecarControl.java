package sagefall.faultinjection;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import sagefall.faultinjection.history.EntryKind;
import sagefall.load.SidecarProcess;

/**
 * The process of one sidecar: its starts, its planned restarts and the faults that end or stop it.
 * Used on the event loop of the run, except {@link #start} and what measures it.
 */
final class SidecarControl {

    /** Descriptors beyond the base that a sidecar at rest may have, such as its watch. */
    private static final int REST_TOLERANCE_DESCRIPTORS = 4;

    /** For so long after SIGTERM clients still make new connections. */
    private static final long LEAVING_DELAY_MICROS = 300_000;

    private final RunContext context;
    private final SidecarSpec spec;
    private final SidecarLauncher launcher;
    private final AgentEndpointList endpoints;
    private final ClientLoad application;
    private volatile SidecarProcess process;

    /** Whether the latest process was killed or terminated. */
    private volatile boolean ending;

    private int incarnation;
    private int baseDescriptors;
    private boolean up;
    private boolean leaving;
    private ObjectNode firstList;
    private NextStart nextStart = new NextStart(false, 0);

    /**
     * What a sidecar finds from its next start on.
     *
     * @param staleList whether its configuration has the endpoint list of its first start
     * @param clockOffsetMillis how far ahead it takes the wall clock to be
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

    /** Whether clients may send requests. */
    boolean isUp() {
        return up;
    }

    /** Whether a planned restart is so far that clients make no new connections. */
    boolean isLeaving() {
        return leaving;
    }

    /** Its starts so far. */
    int incarnation() {
        return incarnation;
    }

    /** The latest process; null before the first start. */
    Process process() {
        return process == null ? null : process.process();
    }

    NextStart nextStart() {
        return nextStart;
    }

    void nextStart(NextStart next) {
        nextStart = next;
    }

    /** Starts it and waits until it is ready; not on the event loop. */
    void start() throws IOException, InterruptedException {
        ObjectNode current = endpoints.complete();
        firstList = firstList == null ? current : firstList;
        ObjectNode list = nextStart.staleList ? firstList : current;
        ending = false;
        SidecarProcess started = launcher.start(++incarnation, list, nextStart.clockOffsetMillis);
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

    private void recordExit(Process ended) {
        context.history()
                .write(
                        EntryKind.PROCESS,
                        "who",
                        spec.index(),
                        "what",
                        "exit",
                        "status",
                        ended.exitValue(),
                        "asked",
                        ending);
    }

    private void recordStart(SidecarProcess started, ObjectNode list) {
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

    /** Clients may come. */
    void ready() {
        up = true;
        leaving = false;
    }

    /** Whether its descriptors are about what they were before the first request, or it ended. */
    boolean isAtRest() throws IOException {
        return !process.process().isAlive()
                || process.statistics().descriptors()
                        <= baseDescriptors + REST_TOLERANCE_DESCRIPTORS;
    }

    /** Records its resources before the first request, to compare with. */
    void recordBase() throws IOException {
        baseDescriptors = process.statistics().descriptors();
        recordRest("before");
    }

    /** Records its resources after the last request. */
    void recordRest() throws IOException {
        recordRest("after");
    }

    private void recordRest(String when) throws IOException {
        context.history()
                .write(
                        EntryKind.REST,
                        "who",
                        spec.index(),
                        "when",
                        when,
                        "descriptors",
                        process.statistics().descriptors(),
                        "rss_kib",
                        process.statistics().status("VmRSS"));
    }

    /** SIGKILL; restarted after so long. */
    void kill(long downMicros) {
        if (!up) {
            return;
        }
        up = false;
        ending = true;
        recordProcess("kill");
        process.process().destroyForcibly();
        startAfter(downMicros);
    }

    private void startAfter(long downMicros) {
        context.eventLoop()
                .queue()
                .scheduleAfter(downMicros, () -> context.tasks().runAside(this::startOnceEnded));
    }

    private void startOnceEnded() throws IOException, InterruptedException {
        process.process().onExit().join();
        start();
        context.eventLoop().run(this::ready);
    }

    /**
     * A planned restart: SIGTERM, then new connections for a while, then none until the next start.
     */
    void restart(long downMicros) {
        if (!up) {
            return;
        }
        ending = true;
        recordProcess("term");
        process.process().destroy();
        context.eventLoop().queue().scheduleAfter(LEAVING_DELAY_MICROS, () -> leaving = true);
        process.process()
                .onExit()
                .thenRun(
                        () ->
                                context.eventLoop()
                                        .run(
                                                () -> {
                                                    up = false;
                                                    startAfter(downMicros);
                                                }));
    }

    /** Stops it: SIGSTOP. */
    void stop() throws IOException {
        recordProcess("stop");
        context.guard().signal("STOP", process.process());
    }

    /** Lets it go on: SIGCONT. */
    void resume() throws IOException {
        recordProcess("cont");
        context.guard().signal("CONT", process.process());
    }

    /** Stops it, or lets it go on. */
    void setStopped(boolean stopped) throws IOException {
        if (stopped) {
            stop();
        } else {
            resume();
        }
    }

    /** Terminates it at the end of the run. */
    void terminate() {
        up = false;
        ending = true;
        recordProcess("term");
        application.close();
        process.process().destroy();
    }

    /** It did not end after SIGTERM. */
    void recordStuck() {
        recordProcess("stuck");
    }

    /** Kills it, whatever state it is in. */
    void destroy() {
        if (process != null && process.process().isAlive()) {
            recordProcess("kill");
            process.process().destroyForcibly();
        }
    }
}

package sagefall.faultinjection;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import sagefall.balancer.api.RequestClass;
import sagefall.emulator.ClientTraffic;
import sagefall.emulator.EmulatedNetwork;
import sagefall.emulator.EventQueue;
import sagefall.emulator.RandomStreams;
import sagefall.emulator.SettingsMessage;
import sagefall.emulator.StopTheWorldPauses;
import sagefall.emulator.ValueAccounting;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryWriter;
import sagefall.faultinjection.invariant.InvariantChecks;
import sagefall.faultinjection.plan.RunDirectory;
import sagefall.faultinjection.plan.RunPlan;
import sagefall.faultinjection.process.ProcessGuard;
import sagefall.faultinjection.process.StandInProcess;
import sagefall.faultinjection.report.RunResult;
import sagefall.faultinjection.standin.RealTimeEventLoop;
import sagefall.load.SidecarChildProcess;
import sagefall.scenario.Scenario;
import sagefall.scenario.ScenarioException;

/**
 * Runs a plan with real processes. The {@code run} command of the deploy file starts the sidecars.
 * Save servers and discovery replicas run in stand-in processes. Each sidecar has a separate relay
 * to each server and to its discovery agent.
 *
 * <p>The emulator's clients, server models, discovery and random streams drive the run in real
 * time. All events are recorded in a history, which is the only input of {@link InvariantChecks}.
 */
public final class FaultInjectionRun implements AutoCloseable {

    private static final int RELAY_THREADS = 3;
    private static final long EXIT_TIMEOUT_SECONDS = 30;
    private static final long SETTLE_POLL_MICROS = 50_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final RunContext context;
    private final RunMembers members;
    private final EventLoopGroup group;
    private final EmulatedNetwork network;
    private final MemberFactory factory;
    private final ValueAccounting accounting;
    private final FaultSchedule schedule;
    private final LeaseObserver leaseObserver;
    private final Thread shutdownHook = new Thread(this::killAll, "fault-injection-end");

    /**
     * Creates the sidecars and servers of the run, opens the links between them, and writes the
     * plan and the schedule of faults. Starts neither sidecars nor stand-in processes.
     */
    FaultInjectionRun(RunPlan plan, Path output)
            throws IOException, ScenarioException, InterruptedException {
        Scenario scenario = plan.scenario();
        // If a sidecar can't be started from a checkout, this loop throws an exception before any
        // file or link is created.
        for (Path build : plan.builds()) {
            SidecarChildProcess.runCommand(build);
        }
        RunDirectory directory = new RunDirectory(output);
        Files.createDirectories(directory.history());
        plan.write(directory.plan());
        context = context(plan, scenario, directory);
        members = new RunMembers(context.randomStreams().stream("clients.slow"));
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        group = new MultiThreadIoEventLoopGroup(RELAY_THREADS, NioIoHandler.newFactory());
        int zones = scenario.fleet().zones().size();
        network = new EmulatedNetwork(scenario.network(), context.randomStreams(), zones);
        leaseObserver =
                scenario.fleet().leaseMillis() == 0
                        ? null
                        : new LeaseObserver(directory.shared().toAbsolutePath());
        accounting =
                new ValueAccounting(
                        (int) Math.ceil(scenario.seconds()),
                        zones,
                        scenario.tenants().size(),
                        scenario.service().overQuotaWeight());
        factory = new MemberFactory(context, members, group, network, leaseObserver);
        factory.createInitialMembers();
        schedule = new FaultSchedule(context, members, plan.faults());
        Files.write(directory.schedule(), schedule.lines());
        factory.placeServers(schedule.serversWithOwnProcess());
    }

    private static RunContext context(RunPlan plan, Scenario scenario, RunDirectory directory)
            throws IOException {
        HistoryWriter history = new HistoryWriter(directory.testBedHistory());
        RealTimeEventLoop eventLoop =
                new RealTimeEventLoop(
                        nanos -> history.write(EntryKind.STALL, "ms", nanos / NANOS_PER_MILLI));
        return new RunContext(
                plan,
                scenario,
                directory,
                history,
                eventLoop,
                new ProcessGuard(),
                new BackgroundTasks(),
                new RandomStreams(plan.seed()),
                requestClass(scenario));
    }

    private static RequestClass requestClass(Scenario scenario) {
        return SettingsMessage.of(scenario, 0).requestClass();
    }

    /**
     * Executes a plan, and checks the invariants on the recorded history.
     *
     * @param output directory for all files of the run
     * @throws IOException if the plan could not be executed or a step of the run failed
     * @throws ScenarioException if the scenario of the plan is invalid
     */
    public static RunResult execute(RunPlan plan, Path output)
            throws IOException, ScenarioException, InterruptedException {
        double readySeconds;
        try (FaultInjectionRun run = new FaultInjectionRun(plan, output)) {
            readySeconds = run.start();
            run.run();
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("the fault injection itself failed: " + e, e);
        }
        return RunResult.evaluate(new RunDirectory(output), readySeconds);
    }

    List<SidecarMember> sidecars() {
        return members.sidecars();
    }

    /**
     * Starts all processes and waits until all are ready. Returns the duration of the start, in
     * seconds.
     */
    double start() throws IOException, InterruptedException, ExecutionException, TimeoutException {
        long startNanos = System.nanoTime();
        new RunHeader(context, members).record();
        new RunStartup(context, members).startAll();
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        for (SidecarMember sidecar : members.sidecars()) {
            sidecar.control().recordBaseline();
        }
        return seconds;
    }

    /**
     * Runs clients and faults until load and faults have ended and no request is open. Then
     * terminates the sidecars.
     */
    void run() throws IOException, InterruptedException, ExecutionException {
        context.eventLoop().begin();
        context.history().write(EntryKind.BEGIN);
        ResourceMeasurement measurement = new ResourceMeasurement(context, members);
        context.tasks().runLoop(measurement::watchCpuStarvation);
        if (leaseObserver != null) {
            context.tasks().runLoop(() -> leaseObserver.watch(context.history()));
        }
        context.eventLoop().call(this::beginLoad);
        awaitSettled();
        context.history().write(EntryKind.END);
        measurement.recordAll();
        terminateSidecars();
        Throwable failure = context.tasks().failure();
        if (failure != null) {
            throw new IOException("the fault injection itself failed: " + failure, failure);
        }
    }

    /** Starts clients and faults. Called on the event loop of the run. */
    private Void beginLoad() {
        Scenario scenario = context.scenario();
        members.sidecars().forEach(sidecar -> sidecar.control().markReady());
        members.traffic(
                new ClientTraffic(
                        scenario,
                        context.randomStreams(),
                        new ClientTraffic.Environment(
                                context.eventLoop().queue(),
                                members.sidecars(),
                                accounting,
                                network),
                        context.requestClass(),
                        factory.totalCapacity()));
        members.initialServers().forEach(this::beginPauses);
        new FaultInjector(context, members, factory, leaseObserver).scheduleAll(schedule);
        members.traffic().start();
        return null;
    }

    /** Schedules the pauses that the specification of a server contains. */
    private void beginPauses(ServerMember server) {
        StopTheWorldPauses.schedule(
                context.eventLoop().queue(),
                context.randomStreams().stream("pauses." + server.slot()),
                server.model().spec.pauseIntervalMicros(),
                server.model().spec.pauseMicros(),
                loadEndMicros(),
                pausesChange -> server.changeFaults(1, 0, pausesChange));
    }

    private long loadEndMicros() {
        return EventQueue.START_MICROS + (long) (1e6 * context.scenario().seconds());
    }

    /**
     * Waits until load and faults have ended. Then waits until all sidecars are up and no request
     * is open, or until a step has failed.
     */
    private void awaitSettled() throws InterruptedException, ExecutionException {
        CompletableFuture<Void> settled = new CompletableFuture<>();
        long end = Math.max(loadEndMicros(), schedule.endMicros());
        EventQueue queue = context.eventLoop().queue();
        context.eventLoop().run(() -> queue.scheduleAt(end, () -> completeOnceSettled(settled)));
        settled.get();
    }

    private void completeOnceSettled(CompletableFuture<Void> settled) {
        boolean allSettled =
                members.sidecars().stream()
                        .allMatch(sidecar -> sidecar.isUp() && !sidecar.isBusy());
        if (allSettled || context.tasks().failure() != null) {
            settled.complete(null);
        } else {
            context.eventLoop()
                    .queue()
                    .scheduleAfter(SETTLE_POLL_MICROS, () -> completeOnceSettled(settled));
        }
    }

    private void terminateSidecars() throws InterruptedException {
        members.sidecars().forEach(sidecar -> sidecar.control().terminate());
        for (SidecarMember sidecar : members.sidecars()) {
            Process process = sidecar.control().process();
            if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                sidecar.control().recordStuck();
            }
            process.destroyForcibly().waitFor();
        }
    }

    private void killAll() {
        members.sidecars().forEach(sidecar -> sidecar.control().destroy());
        members.processes().forEach(ServerProcess::destroy);
        for (StandInProcess replica : members.discoveryReplicas()) {
            replica.process().destroyForcibly();
        }
    }

    /**
     * Kills all processes, waits until the sidecars have exited, and closes links, threads and the
     * history.
     */
    @Override
    public void close() throws IOException {
        killAll();
        for (ServerMember server : members.servers()) {
            for (ServerLink link : server.links()) {
                link.relay().close();
            }
        }
        for (SidecarMember sidecar : members.sidecars()) {
            sidecar.discoveryLink().close();
            if (sidecar.control().process() != null) {
                sidecar.control().process().onExit().join();
            }
        }
        context.eventLoop().close();
        context.tasks().close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        context.guard().close();
        context.history().close();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}

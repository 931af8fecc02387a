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
import sagefall.load.SidecarProcess;
import sagefall.scenario.Scenario;
import sagefall.scenario.ScenarioException;

/**
 * One run of a plan with real processes: sidecars by the deploy file's {@code run}, save servers
 * and replicas of discovery in processes of their own, a relay between any two of them, and the
 * emulator's clients, servers, discovery and random streams in real time. What happens is recorded;
 * {@link InvariantChecks} judge it from that alone.
 */
public final class FaultInjectionRun implements AutoCloseable {

    private static final int RELAY_THREADS = 3;
    private static final long END_TIMEOUT_SECONDS = 30;
    private static final long SETTLE_POLL_MICROS = 50_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final RunContext context;
    private final RunMembers members = new RunMembers();
    private final EventLoopGroup group;
    private final EmulatedNetwork network;
    private final MemberFactory factory;
    private final ValueAccounting accounting;
    private final FaultSchedule schedule;
    private final LeaseObserver leaseObserver;
    private final Thread shutdownHook = new Thread(this::killAll, "fault-injection-end");

    /** Makes all that listens, and starts no process yet. */
    FaultInjectionRun(RunPlan plan, Path output)
            throws IOException, ScenarioException, InterruptedException {
        Scenario scenario = plan.scenario();
        for (Path build : plan.builds()) {
            SidecarProcess.run(build);
        }
        RunDirectory directory = new RunDirectory(output);
        Files.createDirectories(directory.history());
        plan.write(directory.plan());
        context = context(plan, scenario, directory);
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
        factory.makeInitialMembers();
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
     * Executes a plan and judges what was recorded.
     *
     * @param output the directory that everything is written to
     * @throws IOException if the plan could not be executed, or a step of it failed
     * @throws ScenarioException if the scenario of the plan is wrong
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
        return RunResult.judge(new RunDirectory(output), readySeconds);
    }

    List<SidecarMember> sidecars() {
        return members.sidecars();
    }

    /** Starts all processes and waits until all are ready; how long that took, in seconds. */
    double start() throws IOException, InterruptedException, ExecutionException, TimeoutException {
        long begin = System.nanoTime();
        new RunHeader(context, members).record();
        new RunStartup(context, members).startAll();
        double seconds = (System.nanoTime() - begin) / NANOS_PER_SECOND;
        for (SidecarMember sidecar : members.sidecars()) {
            sidecar.control().recordBase();
        }
        return seconds;
    }

    /** Runs clients and faults, to the end of all processes. */
    void run() throws IOException, InterruptedException, ExecutionException {
        context.eventLoop().begin();
        context.history().write(EntryKind.BEGIN);
        RestMeasurement rest = new RestMeasurement(context, members);
        context.tasks().watch(rest::watchCpuStarvation);
        if (leaseObserver != null) {
            context.tasks().watch(() -> leaseObserver.watch(context.history()));
        }
        context.eventLoop().call(this::beginLoad);
        awaitSettled();
        context.history().write(EntryKind.END);
        rest.recordAll();
        endSidecars();
        Throwable failure = context.tasks().failure();
        if (failure != null) {
            throw new IOException("the fault injection itself failed: " + failure, failure);
        }
    }

    /** On the event loop. */
    private Void beginLoad() {
        Scenario scenario = context.scenario();
        members.sidecars().forEach(sidecar -> sidecar.control().ready());
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
                        factory.capacity()));
        members.initialServers().forEach(this::beginPauses);
        new FaultInjector(context, members, factory, leaseObserver).begin(schedule);
        members.traffic().start();
        return null;
    }

    /** The pauses that a server has by its make. */
    private void beginPauses(ServerMember server) {
        StopTheWorldPauses.schedule(
                context.eventLoop().queue(),
                context.randomStreams().stream("pauses." + server.slot()),
                server.model().spec.pauseIntervalMicros(),
                server.model().spec.pauseMicros(),
                loadEndMicros(),
                pausesBy -> server.addFault(1, 0, pausesBy));
    }

    private long loadEndMicros() {
        return EventQueue.START_MICROS + (long) (1e6 * context.scenario().seconds());
    }

    /** Waits until load and faults have ended, no request is open and each sidecar is back. */
    private void awaitSettled() throws InterruptedException, ExecutionException {
        CompletableFuture<Void> settled = new CompletableFuture<>();
        long end = Math.max(loadEndMicros(), schedule.endMicros());
        EventQueue queue = context.eventLoop().queue();
        context.eventLoop().run(() -> queue.scheduleAt(end, () -> completeOnceSettled(settled)));
        settled.get();
    }

    private void completeOnceSettled(CompletableFuture<Void> settled) {
        boolean allBack =
                members.sidecars().stream()
                        .allMatch(sidecar -> sidecar.isUp() && !sidecar.isBusy());
        if (allBack || context.tasks().failure() != null) {
            settled.complete(null);
        } else {
            context.eventLoop()
                    .queue()
                    .scheduleAfter(SETTLE_POLL_MICROS, () -> completeOnceSettled(settled));
        }
    }

    private void endSidecars() throws InterruptedException {
        members.sidecars().forEach(sidecar -> sidecar.control().terminate());
        for (SidecarMember sidecar : members.sidecars()) {
            Process process = sidecar.control().process();
            if (!process.waitFor(END_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                sidecar.control().recordStuck();
            }
            process.destroyForcibly().waitFor();
        }
    }

    private void killAll() {
        members.sidecars().forEach(sidecar -> sidecar.control().destroy());
        members.processes().forEach(ServerProcess::stop);
        for (StandInProcess replica : members.discoveryReplicas()) {
            replica.process().destroyForcibly();
        }
    }

    /** Kills all processes, and waits until the sidecars have ended. */
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

package sagefall.faultinjection;

import java.io.IOException;
import sagefall.balancer.api.RequestClass;
import sagefall.emulator.RandomStreams;
import sagefall.faultinjection.history.HistoryWriter;
import sagefall.faultinjection.plan.RunDirectory;
import sagefall.faultinjection.plan.RunPlan;
import sagefall.faultinjection.process.ProcessGuard;
import sagefall.faultinjection.process.StandInProcess;
import sagefall.faultinjection.standin.RealTimeEventLoop;
import sagefall.faultinjection.standin.StandInHost;
import sagefall.scenario.Scenario;

/**
 * The objects that all parts of a run share.
 *
 * @param plan plan that is executed
 * @param scenario scenario of the plan
 * @param directory directory for all files of the run
 * @param history history that the test bed's own process writes
 * @param eventLoop clock and thread of the emulator's model
 * @param guard guard that kills the remaining child processes when this process exits
 * @param tasks threads for blocking steps
 * @param randomStreams named random streams of the run
 * @param requestClass the only request class of the run
 */
record RunContext(
        RunPlan plan,
        Scenario scenario,
        RunDirectory directory,
        HistoryWriter history,
        RealTimeEventLoop eventLoop,
        ProcessGuard guard,
        BackgroundTasks tasks,
        RandomStreams randomStreams,
        RequestClass requestClass) {

    /** Returns the mean processing time of a request in microseconds. */
    double meanWorkMicros() {
        return 1000 * scenario.service().workMillis().draw(randomStreams, "service.work");
    }

    /** Starts a stand-in process that writes its own history. */
    StandInProcess startStandIn(String name) throws IOException {
        return new StandInProcess(
                guard,
                StandInHost.class.getName(),
                directory.processHistory(name).toAbsolutePath(),
                directory.standInLog());
    }
}

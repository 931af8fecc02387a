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
 * What all members and faults of a run share.
 *
 * @param plan what is executed
 * @param scenario of the plan
 * @param directory where everything is written
 * @param history the test bed's own history
 * @param eventLoop clock and thread of the emulator's model
 * @param guard kills the processes that are left when this one has ended
 * @param tasks threads for what blocks
 * @param randomStreams all that is drawn, by name
 * @param requestClass the one class of requests of the run
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

    /** Mean processing time of a request. */
    double meanWorkMicros() {
        return 1000 * scenario.service().workMillis().draw(randomStreams, "service.work");
    }

    /** Starts a stand-in process with a history of its own. */
    StandInProcess startStandIn(String name) throws IOException {
        return new StandInProcess(
                guard,
                StandInHost.class.getName(),
                directory.processHistory(name).toAbsolutePath(),
                directory.standInLog());
    }
}

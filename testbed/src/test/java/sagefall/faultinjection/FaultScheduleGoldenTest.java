package sagefall.faultinjection;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sagefall.faultinjection.plan.RunDirectory;
import sagefall.faultinjection.plan.RunPlan;
import sagefall.load.SidecarChildProcess;
import sagefall.scenario.Scenario;
import sagefall.scenario.ScenarioSource;

/**
 * Compares the schedules of all shipped fault injection scenarios, for seeds 1 to 3, byte by byte
 * with recorded schedules. The recorded schedules were written before the classes of this package
 * were renamed.
 */
class FaultScheduleGoldenTest {

    private static final List<Long> SEEDS = List.of(1L, 2L, 3L);

    @TempDir Path folder;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "rig-blackout",
                "rig-calm",
                "rig-disagree",
                "rig-discovery",
                "rig-flap",
                "rig-kill",
                "rig-one-way",
                "rig-owner",
                "rig-reborn",
                "rig-restart",
                "rig-restart-hang",
                "rig-second-loss",
                "rig-slow-servers",
                "rig-slow-sidecars",
                "rig-stop",
                "rig-zone"
            })
    void scheduleOfShippedScenarioEqualsRecordedSchedule(String scenario) throws Exception {
        StringBuilder schedules = new StringBuilder();
        for (long seed : SEEDS) {
            schedules.append(schedule(scenario, seed));
        }
        assertEquals(recordedSchedule(scenario), schedules.toString());
    }

    /**
     * Returns the content of the schedule file of a run. The fleet is the default fleet of the
     * command line.
     */
    private String schedule(String scenario, long seed) throws Exception {
        ScenarioSource source = Scenario.source(scenario);
        Path output = folder.resolve(scenario + "-" + seed);
        RunPlan plan =
                new RunPlan(
                        source.file(),
                        source.text(),
                        RunPlan.ONE_MACHINE_FLEET,
                        seed,
                        null,
                        List.of(SidecarChildProcess.ROOT));
        new FaultInjectionRun(plan, output).close();
        return Files.readString(new RunDirectory(output).schedule());
    }

    private static String recordedSchedule(String scenario) throws IOException {
        try (InputStream in =
                FaultScheduleGoldenTest.class.getResourceAsStream(
                        "/fault-schedules/" + scenario + ".jsonl")) {
            return new String(in.readAllBytes(), UTF_8);
        }
    }
}

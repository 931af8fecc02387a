package sagefall.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ScenarioTest {

    /**
     * The error message for an invalid scenario is one line that states file, line and key. A bar
     * in a scenario text stands for a line break.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "name='x'|sedonds=3; f.toml:2: sedonds: unknown key",
                "name='x'|[fleet]|servers='many'; f.toml:3: fleet.servers: must be a number or"
                        + " [low, high]",
                "name='x'|[fleet]|servers=2.5; f.toml:3: fleet.servers: must be a whole number",
                "name='x'|[load]|use=[0.9, 0.1]; f.toml:3: load.use: must lie from 0 to 10, the"
                        + " lower bound first",
                "name='x'|[service]|effect='magic'; "
                        + "f.toml:3: service.effect: 'magic' is none of pure, token, side_effect",
                "name='x'|[[fault]]|kind='lose_zone'|zone='z'; "
                        + "f.toml:4: fault[0].zone: the fleet has no such zone, only a, b, c, d",
                "name='x'|[[fault]]|kind='slow'|[[fault]]|kind='surge'|tenant='me'; f.toml:6:"
                        + " fault[1].tenant: there is no such tenant, only one, two, three",
                "name='x'|[[fault]]|kind='burst'|zone='a'; f.toml:4: fault[0].zone: does not apply"
                        + " to burst",
                "name='x'|seconds=20|[[fault]]|kind='burst'|at_s=21; f.toml:5: fault[0].at_s: must"
                        + " lie from 0 to 20",
                "name='x'|[fleet]|zones=['a','a']; f.toml:3: fleet.zones: must be a list of"
                        + " distinct strings",
                "about='x'; f.toml:1: name: is missing"
            })
    void invalidScenarioIsRejectedWithOneLineThatStatesFileLineAndKey(String text, String message) {
        assertEquals(
                message,
                assertThrows(
                                ScenarioException.class,
                                () -> Scenario.read("f.toml", text.replace('|', '\n'), List.of()))
                        .getMessage());
    }

    @Test
    void syntaxErrorMessageStatesTheLine() {
        ScenarioException exception =
                assertThrows(
                        ScenarioException.class,
                        () -> Scenario.read("f.toml", "name='x'\n= 3\n", List.of()));
        assertEquals("f.toml:2: not TOML:", exception.getMessage().substring(0, 19));
    }
}

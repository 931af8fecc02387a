package sagefall.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the lists in the deploy files match the sources. */
class DeployFilesTest {

    private static final Path ROOT = Path.of("..");
    private static final Path SOURCES = ROOT.resolve("sidecar/src/main/java");
    private static final Pattern OWN_CLASS = Pattern.compile("\\bsagefall/[A-Za-z0-9_/$]+");

    /**
     * A class list that names a missing class makes the sidecar start more slowly but causes no
     * error, so only this test detects the missing class.
     */
    @Test
    void classListNamesOnlyClassesThatExist() throws IOException {
        Set<String> missing = new TreeSet<>();
        boolean anyFound = false;
        for (String line : Files.readAllLines(ROOT.resolve("deploy/classes.lst"))) {
            Matcher ownClass = OWN_CLASS.matcher(line.startsWith("#") ? "" : line);
            while (ownClass.find()) {
                anyFound = true;
                if (getClass().getResource("/" + ownClass.group() + ".class") == null) {
                    missing.add(ownClass.group());
                }
            }
        }
        assertTrue(anyFound, "deploy/classes.lst names no class of this project");
        assertEquals(Set.of(), missing, "run deploy/update-class-list.sh");
    }

    /**
     * The emulator recompiles the files of the policy list, so the policy list has to contain the
     * balancer without its API, and nothing else.
     */
    @Test
    void policyListMatchesBalancerSourcesWithoutApi() throws IOException {
        Path balancer = SOURCES.resolve("sagefall/balancer");
        Set<String> expected;
        try (Stream<Path> files = Files.walk(balancer)) {
            expected =
                    files.filter(file -> file.toString().endsWith(".java"))
                            .filter(file -> !file.startsWith(balancer.resolve("api")))
                            .filter(file -> !file.endsWith("package-info.java"))
                            .map(file -> ROOT.relativize(file).toString())
                            .collect(Collectors.toCollection(TreeSet::new));
        }
        assertEquals(expected, new TreeSet<>(listed("policy")));
    }

    @Test
    void nodeListNamesOnlyFilesThatExist() {
        List<String> missing =
                listed("node").stream().filter(f -> !Files.exists(ROOT.resolve(f))).toList();
        assertEquals(List.of(), missing);
    }

    private static List<String> listed(String key) {
        try (Stream<String> lines = Files.lines(ROOT.resolve("deploy/balancer.toml"))) {
            String line = lines.filter(l -> l.startsWith(key + " = [")).findFirst().orElseThrow();
            return Pattern.compile("\"([^\"]+)\"")
                    .matcher(line)
                    .results()
                    .map(result -> result.group(1))
                    .toList();
        } catch (IOException e) {
            throw new IllegalStateException("deploy/balancer.toml can't be read", e);
        }
    }
}

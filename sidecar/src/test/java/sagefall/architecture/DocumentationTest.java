package sagefall.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that the files, packages, classes and class members that the documentation pages link to
 * or name exist.
 */
class DocumentationTest {

    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    /**
     * Pages that describe measurements and questions of earlier builds, with the class names of
     * that time. The test checks the links in these pages, but not the names.
     */
    private static final Set<String> HISTORICAL_PAGES =
            Set.of("docs/MEASURING.md", "docs/QUESTIONS.md");

    /** Classes that the reader writes in the worked example in CONTRIBUTING.md. */
    private static final Set<String> WORKED_EXAMPLE =
            Set.of("NeverRetryPolicy", "NeverRetryPolicyTest");

    /** JDK packages whose types the pages may name. */
    private static final List<String> JDK_PACKAGES =
            List.of("java.lang.", "java.io.", "java.util.", "java.time.");

    private static final List<String> SOURCE_FOLDERS =
            List.of(
                    "sidecar/src/main/java",
                    "sidecar/src/test/java",
                    "testbed/src/main/java",
                    "testbed/src/test/java");

    private static final Pattern LINK = Pattern.compile("\\]\\(([^)\\s]+)\\)");
    private static final Pattern EXTERNAL = Pattern.compile("[a-z]+:.*");
    private static final Pattern FENCE = Pattern.compile("(?ms)^```(\\w*)$(.*?)^```$");
    private static final Pattern INLINE_CODE = Pattern.compile("`([^`\\n]+)`");

    /**
     * Matches a type, alone or with a member, such as {@code Foo}, {@code Foo.bar} or {@code
     * Foo#bar}.
     */
    private static final Pattern TYPE =
            Pattern.compile("([A-Z]\\w*[a-z]\\w*)(?:[.#]([A-Za-z]\\w*)(?:\\(.*\\))?)?");

    private static final Pattern QUALIFIED =
            Pattern.compile("sagefall((?:\\.[a-z]\\w*)*)(?:\\.([A-Z]\\w*))?");
    private static final Pattern CAMEL_CASE =
            Pattern.compile("\\b[A-Z][a-z0-9]+(?:[A-Z][A-Za-z0-9]*)+\\b");
    private static final Pattern REPOSITORY_FILE =
            Pattern.compile("(?:docs|deploy|journal|sidecar|testbed|\\.ci)/[\\w./-]*");
    private static final Pattern BUILT_FILE = Pattern.compile("\\w+/target/.*");

    /** Source files of both modules by the simple name of the type that they declare. */
    private static final Map<String, List<Path>> TYPES = new HashMap<>();

    @BeforeAll
    static void findTypes() throws IOException {
        for (String folder : SOURCE_FOLDERS) {
            try (Stream<Path> files = Files.walk(ROOT.resolve(folder))) {
                files.filter(file -> file.toString().endsWith(".java"))
                        .forEach(
                                file ->
                                        TYPES.computeIfAbsent(
                                                        simpleName(file), n -> new ArrayList<>())
                                                .add(file));
            }
        }
        assertFalse(TYPES.isEmpty());
    }

    private static String simpleName(Path file) {
        return file.getFileName().toString().replace(".java", "");
    }

    @Test
    void linkedFilesExistInRepository() throws IOException {
        Set<String> broken = new TreeSet<>();
        int links = 0;
        for (String page : pages()) {
            Path folder = ROOT.resolve(page).getParent();
            Matcher link = LINK.matcher(withoutFences(read(page)));
            while (link.find()) {
                String target = link.group(1).replaceAll("#.*", "");
                if (target.isEmpty() || EXTERNAL.matcher(target).matches()) {
                    continue;
                }
                links++;
                Path file = folder.resolve(target).normalize();
                if (!file.startsWith(ROOT) || !Files.exists(file)) {
                    broken.add(page + ": " + link.group(1));
                }
            }
        }
        assertTrue(links > 0, "no link was found: the pattern is wrong");
        assertEquals(Set.of(), broken);
    }

    @Test
    void namedClassesAndFilesExist() throws IOException {
        Set<String> missing = new TreeSet<>();
        int names = 0;
        for (String page : pages()) {
            if (HISTORICAL_PAGES.contains(page)) {
                continue;
            }
            for (String code : codeIn(read(page))) {
                names++;
                String missingName = missingName(code);
                if (missingName != null) {
                    missing.add(page + ": " + missingName);
                }
            }
        }
        assertTrue(names > 0, "no code was found: the pattern is wrong");
        assertEquals(Set.of(), missing);
    }

    /**
     * Checks {@link #missingName}: a name is reported as missing only if it has the form of a name
     * of this project and does not exist.
     */
    @ParameterizedTest
    @CsvSource({
        "LoadBalancer, true",
        "LoadBalancer.onRequest, true",
        "LoadBalancer.onRequest(now), true",
        "LoadBalancer#onRequest, true",
        "sagefall.balancer.api, true",
        "sagefall.balancer.api.LoadBalancer, true",
        "deploy/balancer.toml, true",
        "IOException, true",
        "Retry-After, true",
        "-Xmx64m, true",
        "G, true",
        "LoadBalancers, false",
        "LoadBalancer.onNothing, false",
        "sagefall.balancer.nowhere, false",
        "sagefall.balancer.LoadBalancer, false",
        "deploy/nowhere.toml, false",
        "Choice, false"
    })
    void checkReportsExactlyMissingNames(String code, boolean exists) throws IOException {
        assertEquals(exists, missingName(code) == null, code);
    }

    /**
     * Returns the code if it names a package, class, class member or file of this project that does
     * not exist; null otherwise.
     */
    private static String missingName(String code) throws IOException {
        Matcher qualified = QUALIFIED.matcher(code);
        if (qualified.matches()) {
            return existsQualified(qualified.group(1), qualified.group(2)) ? null : code;
        }
        if (REPOSITORY_FILE.matcher(code).matches() && !BUILT_FILE.matcher(code).matches()) {
            boolean example = WORKED_EXAMPLE.contains(simpleName(Path.of(code)));
            return example || Files.exists(ROOT.resolve(code)) ? null : code;
        }
        Matcher type = TYPE.matcher(code);
        if (type.matches()) {
            return exists(type.group(1), type.group(2)) ? null : code;
        }
        return null;
    }

    private static boolean existsQualified(String packages, String type) {
        String path = "sagefall" + packages.replace('.', '/');
        return SOURCE_FOLDERS.stream()
                .map(ROOT::resolve)
                .map(folder -> folder.resolve(path))
                .map(folder -> type == null ? folder : folder.resolve(type + ".java"))
                .anyMatch(Files::exists);
    }

    private static boolean exists(String type, String member) throws IOException {
        if (WORKED_EXAMPLE.contains(type) || isJdkType(type)) {
            return true;
        }
        for (Path file : TYPES.getOrDefault(type, List.of())) {
            if (member == null || mentions(Files.readString(file), member)) {
                return true;
            }
        }
        return false;
    }

    private static boolean mentions(String source, String member) {
        return Pattern.compile("\\b" + member + "\\b").matcher(source).find();
    }

    private static boolean isJdkType(String type) {
        for (String jdkPackage : JDK_PACKAGES) {
            try {
                Class.forName(jdkPackage + type, false, null);
                return true;
            } catch (ClassNotFoundException e) {
                // The type is not in this JDK package.
            }
        }
        return false;
    }

    /** Returns the pieces of inline code and the type names in diagrams. */
    private static List<String> codeIn(String text) {
        List<String> code = new ArrayList<>();
        Matcher fence = FENCE.matcher(text);
        while (fence.find()) {
            if (fence.group(1).equals("mermaid")) {
                CAMEL_CASE.matcher(fence.group(2)).results().forEach(r -> code.add(r.group()));
            }
        }
        INLINE_CODE.matcher(withoutFences(text)).results().forEach(r -> code.add(r.group(1)));
        return code;
    }

    private static String withoutFences(String text) {
        return FENCE.matcher(text).replaceAll("");
    }

    /** Returns the paths of the pages, relative to the root of the repository. */
    private static List<String> pages() throws IOException {
        List<String> pages = new ArrayList<>(List.of("README.md", "CONTRIBUTING.md"));
        try (Stream<Path> files = Files.list(ROOT.resolve("docs"))) {
            files.map(file -> "docs/" + file.getFileName())
                    .filter(page -> page.endsWith(".md"))
                    .sorted()
                    .forEach(pages::add);
        }
        return pages;
    }

    private static String read(String page) throws IOException {
        return Files.readString(ROOT.resolve(page));
    }
}

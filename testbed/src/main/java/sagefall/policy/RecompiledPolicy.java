package sagefall.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.tools.FileObject;
import javax.tools.ForwardingJavaFileManager;
import javax.tools.JavaCompiler;
import javax.tools.JavaFileManager;
import javax.tools.JavaFileObject;
import javax.tools.SimpleJavaFileObject;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadBalancer;
import sagefall.emulator.SettingsMessage;

/**
 * The module compiled anew from the policy files with some of its tunables changed. The tunables
 * are constants of the source, which the compiler folds, and so they stay: {@code run} pays nothing
 * for being tried with others, and what is tried is the module's own text.
 */
final class RecompiledPolicy implements Policy {

    /** The class among the policy files that implements the interface to the host. */
    private static final Pattern ENTRY_POINT =
            Pattern.compile("\\bclass\\s+(\\w+)[^{]*\\bimplements\\s[^{]*\\bLoadBalancer\\b");

    private static final Pattern PACKAGE = Pattern.compile("(?m)^package\\s+([\\w.]+)\\s*;");

    private final String name;
    private final Class<? extends LoadBalancer> module;

    /**
     * @param root a checkout of sagefall, whose deploy file names the policy files
     * @param changes tunable, or class and tunable, to its value
     */
    RecompiledPolicy(String name, Path root, Map<String, String> changes) throws PolicyException {
        this.name = name;
        try {
            Map<String, String> sources = read(root);
            for (Map.Entry<String, String> change : changes.entrySet()) {
                change(sources, change.getKey(), change.getValue());
            }
            module =
                    new Compiled(compile(sources))
                            .loadClass(entryPoint(sources))
                            .asSubclass(LoadBalancer.class);
        } catch (IOException | ClassNotFoundException e) {
            throw new PolicyException(name + ": the policy files can't be read: " + e.getMessage());
        }
    }

    private static Map<String, String> read(Path root) throws IOException, PolicyException {
        Path deploy = root.resolve("deploy/balancer.toml");
        if (!Files.isReadable(deploy)) {
            throw new PolicyException(
                    root.toAbsolutePath().normalize()
                            + ": no deploy/balancer.toml; run in the repository, or name it with"
                            + " --root");
        }
        Map<String, String> sources = new LinkedHashMap<>();
        for (JsonNode file : new TomlMapper().readTree(Files.readString(deploy)).path("policy")) {
            Path path = root.resolve(file.textValue());
            String simple = path.getFileName().toString().replace(".java", "");
            sources.put(simple, Files.readString(path));
        }
        return sources;
    }

    private static String qualifiedName(String simple, String text) {
        Matcher declared = PACKAGE.matcher(text);
        return declared.find() ? declared.group(1) + "." + simple : simple;
    }

    /** The qualified name of the class that the emulator creates for each sidecar. */
    private String entryPoint(Map<String, String> sources) throws PolicyException {
        for (Map.Entry<String, String> source : sources.entrySet()) {
            Matcher declared = ENTRY_POINT.matcher(source.getValue());
            if (declared.find() && declared.group(1).equals(source.getKey())) {
                return qualifiedName(source.getKey(), source.getValue());
            }
        }
        throw new PolicyException(
                name + ": no file of the deploy file's policy list implements LoadBalancer");
    }

    private void change(Map<String, String> sources, String tunable, String value)
            throws PolicyException {
        int dot = tunable.indexOf('.');
        String constant = tunable.substring(dot + 1);
        Pattern declared =
                Pattern.compile(
                        "((?:private )?static final (?:double|int|long) [^;]*?\\b"
                                + Pattern.quote(constant)
                                + "\\s*=\\s*)([^,;]+)");
        List<String> in = new ArrayList<>();
        for (Map.Entry<String, String> source : sources.entrySet()) {
            Matcher found = declared.matcher(source.getValue());
            if ((dot < 0 || source.getKey().equals(tunable.substring(0, dot))) && found.find()) {
                in.add(source.getKey());
                source.setValue(
                        source.getValue().substring(0, found.end(1))
                                + value
                                + source.getValue().substring(found.end(2)));
            }
        }
        if (in.size() != 1) {
            throw new PolicyException(
                    name
                            + ": "
                            + tunable
                            + (in.isEmpty()
                                    ? " is no tunable of the policy files"
                                    : " stands in "
                                            + String.join(" and ", in)
                                            + "; write CLASS."
                                            + constant));
        }
    }

    private static final class Source extends SimpleJavaFileObject {
        private final String text;

        Source(String simple, String text) {
            super(
                    URI.create(
                            "string:///" + qualifiedName(simple, text).replace('.', '/') + ".java"),
                    Kind.SOURCE);
            this.text = text;
        }

        @Override
        public CharSequence getCharContent(boolean ignore) {
            return text;
        }
    }

    private Map<String, byte[]> compile(Map<String, String> sources)
            throws IOException, PolicyException {
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        if (compiler == null) {
            throw new PolicyException(name + ": changed tunables need a JDK, not only a runtime");
        }
        Map<String, ByteArrayOutputStream> classes = new HashMap<>();
        StringWriter errors = new StringWriter();
        try (StandardJavaFileManager standard = compiler.getStandardFileManager(null, null, null)) {
            JavaFileManager files =
                    new ForwardingJavaFileManager<>(standard) {
                        @Override
                        public JavaFileObject getJavaFileForOutput(
                                Location location,
                                String className,
                                JavaFileObject.Kind kind,
                                FileObject sibling) {
                            return new SimpleJavaFileObject(
                                    URI.create("mem:///" + className), kind) {
                                @Override
                                public OutputStream openOutputStream() {
                                    return classes.computeIfAbsent(
                                            className, c -> new ByteArrayOutputStream());
                                }
                            };
                        }
                    };
            List<Source> units =
                    sources.entrySet().stream()
                            .map(e -> new Source(e.getKey(), e.getValue()))
                            .toList();
            if (!compiler.getTask(
                            errors,
                            files,
                            null,
                            List.of("-proc:none", "-classpath", classPath()),
                            null,
                            units)
                    .call()) {
                throw new PolicyException(
                        name
                                + ": does not compile: "
                                + errors.toString().lines().findFirst().orElse(""));
            }
        }
        Map<String, byte[]> bytes = new HashMap<>();
        classes.forEach((className, out) -> bytes.put(className, out.toByteArray()));
        return bytes;
    }

    /** Where the module's interface was loaded from: an archive, or a folder of classes. */
    private static String classPath() throws PolicyException {
        try {
            return Path.of(
                            LoadBalancer.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI())
                    .toString();
        } catch (URISyntaxException e) {
            throw new PolicyException("the sidecar's classes have no place: " + e.getMessage());
        }
    }

    /** Takes the compiled classes before those of this build. */
    private static final class Compiled extends ClassLoader {
        private final Map<String, byte[]> classes;

        Compiled(Map<String, byte[]> classes) {
            super(RecompiledPolicy.class.getClassLoader());
            this.classes = classes;
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            synchronized (getClassLoadingLock(name)) {
                byte[] bytes = classes.get(name);
                if (bytes == null) {
                    return super.loadClass(name, resolve);
                }
                Class<?> loaded = findLoadedClass(name);
                return loaded != null ? loaded : defineClass(name, bytes, 0, bytes.length);
            }
        }
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public LoadBalancer create(
            BalancerSettings settings,
            SettingsMessage message,
            BalancerActions actions,
            GroundTruth truth) {
        try {
            return module.getConstructor(BalancerSettings.class, BalancerActions.class)
                    .newInstance(settings, actions);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(name + ": " + e, e);
        }
    }
}

package sagefall.policy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import javax.tools.FileObject;
import javax.tools.ForwardingJavaFileManager;
import javax.tools.JavaCompiler;
import javax.tools.JavaFileManager;
import javax.tools.JavaFileObject;
import javax.tools.SimpleJavaFileObject;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;
import sagefall.balancer.api.LoadBalancer;

/** Compiles source texts against the classes of this build, and loads the compiled classes. */
final class InMemoryCompiler {

    private InMemoryCompiler() {}

    /**
     * Compiles classes.
     *
     * @param policyName name of the policy, for error messages
     * @param sources source texts by the qualified names of their classes
     * @return a class loader that loads the compiled classes instead of the classes with the same
     *     names in this build
     * @throws PolicyException if there is no compiler or the sources have an error
     */
    static ClassLoader compile(String policyName, Map<String, String> sources)
            throws PolicyException {
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        if (compiler == null) {
            throw new PolicyException(
                    policyName + ": changed tunables need a JDK, not only a runtime");
        }
        List<Source> sourceFiles =
                sources.entrySet().stream().map(e -> new Source(e.getKey(), e.getValue())).toList();
        List<String> options = List.of("-proc:none", "-classpath", classPath());
        StringWriter errors = new StringWriter();
        try (StandardJavaFileManager standard = compiler.getStandardFileManager(null, null, null);
                Outputs outputs = new Outputs(standard)) {
            boolean compiled =
                    compiler.getTask(errors, outputs, null, options, null, sourceFiles).call();
            if (!compiled) {
                throw new PolicyException(
                        policyName
                                + ": the policy files do not compile against this build: "
                                + errors.toString().lines().findFirst().orElse(""));
            }
            return new CompiledFirstLoader(outputs.classes());
        } catch (IOException e) {
            throw new PolicyException(
                    policyName + ": the policy files cannot be read: " + e.getMessage());
        }
    }

    /** Returns the archive or directory that the sidecar's classes were loaded from. */
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
            throw new PolicyException(
                    "the location of the sidecar's classes is not a path: " + e.getMessage());
        }
    }

    /** Source text of a class, in memory. */
    private static final class Source extends SimpleJavaFileObject {
        private final String text;

        Source(String qualifiedName, String text) {
            super(
                    URI.create("string:///" + qualifiedName.replace('.', '/') + ".java"),
                    Kind.SOURCE);
            this.text = text;
        }

        @Override
        public CharSequence getCharContent(boolean ignoreEncodingErrors) {
            return text;
        }
    }

    /** Keeps the compiled class files in memory. */
    private static final class Outputs extends ForwardingJavaFileManager<JavaFileManager> {
        private final Map<String, ByteArrayOutputStream> byClassName = new HashMap<>();

        Outputs(JavaFileManager standard) {
            super(standard);
        }

        @Override
        public JavaFileObject getJavaFileForOutput(
                Location location, String className, JavaFileObject.Kind kind, FileObject sibling) {
            return new SimpleJavaFileObject(URI.create("mem:///" + className), kind) {
                @Override
                public OutputStream openOutputStream() {
                    return byClassName.computeIfAbsent(
                            className, name -> new ByteArrayOutputStream());
                }
            };
        }

        Map<String, byte[]> classes() {
            Map<String, byte[]> classes = new HashMap<>();
            byClassName.forEach((name, out) -> classes.put(name, out.toByteArray()));
            return classes;
        }
    }

    /** Defines the compiled classes itself, and delegates the loading of all others. */
    private static final class CompiledFirstLoader extends ClassLoader {
        private final Map<String, byte[]> classes;

        CompiledFirstLoader(Map<String, byte[]> classes) {
            super(InMemoryCompiler.class.getClassLoader());
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
}

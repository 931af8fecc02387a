package sagefall.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The source files that the deploy file of a checkout names as its policy. */
final class PolicySources {

    private static final String DEPLOY_FILE = "deploy/balancer.toml";

    /** The class among the policy files that implements the interface to the host. */
    private static final Pattern ENTRY_POINT =
            Pattern.compile("\\bclass\\s+(\\w+)[^{]*\\bimplements\\s[^{]*\\bLoadBalancer\\b");

    private static final Pattern PACKAGE = Pattern.compile("(?m)^package\\s+([\\w.]+)\\s*;");

    /** What a constant's declaration begins with, and ends with before its value. */
    private static final String DECLARATION_START =
            "((?:private )?static final (?:double|int|long) [^;]*?\\b";

    private static final String DECLARATION_END = "\\s*=\\s*)([^,;]+)";

    private final String policyName;

    /** Texts by the simple names of their classes, in the order of the deploy file. */
    private final Map<String, String> texts = new LinkedHashMap<>();

    /**
     * Reads the files.
     *
     * @param policyName for messages
     * @param root of the checkout
     */
    PolicySources(String policyName, Path root) throws PolicyException {
        this.policyName = policyName;
        Path deploy = root.resolve(DEPLOY_FILE);
        if (!Files.isReadable(deploy)) {
            throw new PolicyException(
                    root.toAbsolutePath().normalize()
                            + ": no "
                            + DEPLOY_FILE
                            + "; run in the repository, or name it with --root");
        }
        try {
            JsonNode files = new TomlMapper().readTree(Files.readString(deploy)).path("policy");
            for (JsonNode file : files) {
                Path path = root.resolve(file.textValue());
                String simpleName = path.getFileName().toString().replace(".java", "");
                texts.put(simpleName, Files.readString(path));
            }
        } catch (IOException e) {
            throw new PolicyException(
                    policyName + ": the policy files can't be read: " + e.getMessage());
        }
    }

    /** Texts by the qualified names of their classes. */
    Map<String, String> byQualifiedName() {
        Map<String, String> qualified = new LinkedHashMap<>();
        texts.forEach((simple, text) -> qualified.put(qualifiedName(simple, text), text));
        return qualified;
    }

    private static String qualifiedName(String simpleName, String text) {
        Matcher declared = PACKAGE.matcher(text);
        return declared.find() ? declared.group(1) + "." + simpleName : simpleName;
    }

    /** The qualified name of the class that a host creates for each sidecar. */
    String entryPoint() throws PolicyException {
        for (Map.Entry<String, String> text : texts.entrySet()) {
            Matcher declared = ENTRY_POINT.matcher(text.getValue());
            if (declared.find() && declared.group(1).equals(text.getKey())) {
                return qualifiedName(text.getKey(), text.getValue());
            }
        }
        throw new PolicyException(
                policyName + ": no file of the deploy file's policy list implements LoadBalancer");
    }

    /**
     * Changes the value of a constant.
     *
     * @param tunable name of the constant, or CLASS.NAME where several classes have one
     * @throws PolicyException unless exactly one constant has the name
     */
    void setTunable(String tunable, String value) throws PolicyException {
        int dot = tunable.indexOf('.');
        String className = dot < 0 ? "" : tunable.substring(0, dot);
        String constant = tunable.substring(dot + 1);
        Pattern declaration =
                Pattern.compile(DECLARATION_START + Pattern.quote(constant) + DECLARATION_END);
        List<String> changedClasses = new ArrayList<>();
        for (Map.Entry<String, String> text : texts.entrySet()) {
            boolean named = className.isEmpty() || className.equals(text.getKey());
            Matcher found = declaration.matcher(text.getValue());
            if (named && found.find()) {
                changedClasses.add(text.getKey());
                text.setValue(replaceValue(text.getValue(), found, value));
            }
        }
        if (changedClasses.isEmpty()) {
            throw new PolicyException(
                    policyName + ": " + tunable + " is no tunable of the policy files");
        }
        if (changedClasses.size() > 1) {
            throw new PolicyException(
                    policyName
                            + ": "
                            + tunable
                            + " stands in "
                            + String.join(" and ", changedClasses)
                            + "; write CLASS."
                            + constant);
        }
    }

    private static String replaceValue(String text, Matcher declaration, String value) {
        return text.substring(0, declaration.end(1)) + value + text.substring(declaration.end(2));
    }
}

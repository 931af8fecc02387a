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

/** Source files of the load balancer that are listed in the deploy file of a checkout. */
final class PolicySources {

    private static final String DEPLOY_FILE = "deploy/balancer.toml";

    /**
     * Matches the declaration of a class that implements {@code LoadBalancer}; group 1 is the name.
     */
    private static final Pattern ENTRY_POINT =
            Pattern.compile("\\bclass\\s+(\\w+)[^{]*\\bimplements\\s[^{]*\\bLoadBalancer\\b");

    private static final Pattern PACKAGE = Pattern.compile("(?m)^package\\s+([\\w.]+)\\s*;");

    /** Pattern for the part of a constant's declaration before the name. Opens group 1. */
    private static final String DECLARATION_START =
            "((?:private )?static final (?:double|int|long) [^;]*?\\b";

    /**
     * Pattern for the part of a constant's declaration after the name. Closes group 1 before the
     * value. Group 2 is the value.
     */
    private static final String DECLARATION_END = "\\s*=\\s*)([^,;]+)";

    private final String policyName;

    /** Source texts by the simple names of their classes, in the order of the deploy file. */
    private final Map<String, String> texts = new LinkedHashMap<>();

    /**
     * Reads the policy files.
     *
     * @param policyName name of the policy, for error messages
     * @param root root of the checkout
     * @throws PolicyException if the deploy file or a policy file cannot be read
     */
    PolicySources(String policyName, Path root) throws PolicyException {
        this.policyName = policyName;
        Path deploy = root.resolve(DEPLOY_FILE);
        if (!Files.isReadable(deploy)) {
            throw new PolicyException(
                    root.toAbsolutePath().normalize()
                            + ": no "
                            + DEPLOY_FILE
                            + "; run in the repository, or pass its path with --root");
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
                    policyName + ": the policy files cannot be read: " + e.getMessage());
        }
    }

    /** Returns the source texts by the qualified names of their classes. */
    Map<String, String> byQualifiedName() {
        Map<String, String> qualified = new LinkedHashMap<>();
        texts.forEach((simple, text) -> qualified.put(qualifiedName(simple, text), text));
        return qualified;
    }

    private static String qualifiedName(String simpleName, String text) {
        Matcher packageClause = PACKAGE.matcher(text);
        return packageClause.find() ? packageClause.group(1) + "." + simpleName : simpleName;
    }

    /**
     * Returns the qualified name of the class that a host instantiates for each sidecar.
     *
     * @throws PolicyException if no policy file implements {@code LoadBalancer}
     */
    String entryPoint() throws PolicyException {
        for (Map.Entry<String, String> text : texts.entrySet()) {
            Matcher classHeader = ENTRY_POINT.matcher(text.getValue());
            if (classHeader.find() && classHeader.group(1).equals(text.getKey())) {
                return qualifiedName(text.getKey(), text.getValue());
            }
        }
        throw new PolicyException(
                policyName + ": no file of the deploy file's policy list implements LoadBalancer");
    }

    /**
     * Replaces the value of a constant.
     *
     * @param tunable {@code NAME} of the constant, or {@code CLASS.NAME} if several classes have a
     *     constant of this name
     * @throws PolicyException unless exactly one class has a constant of this name
     */
    void setTunable(String tunable, String value) throws PolicyException {
        int dot = tunable.indexOf('.');
        String className = dot < 0 ? "" : tunable.substring(0, dot);
        String constant = tunable.substring(dot + 1);
        Pattern declaration =
                Pattern.compile(DECLARATION_START + Pattern.quote(constant) + DECLARATION_END);
        List<String> changedClasses = new ArrayList<>();
        for (Map.Entry<String, String> text : texts.entrySet()) {
            boolean classMatches = className.isEmpty() || className.equals(text.getKey());
            Matcher match = declaration.matcher(text.getValue());
            if (classMatches && match.find()) {
                changedClasses.add(text.getKey());
                text.setValue(replaceValue(text.getValue(), match, value));
            }
        }
        if (changedClasses.isEmpty()) {
            throw new PolicyException(
                    policyName + ": " + tunable + " is not a tunable of the policy files");
        }
        if (changedClasses.size() > 1) {
            throw new PolicyException(
                    policyName
                            + ": "
                            + tunable
                            + " is defined in "
                            + String.join(" and ", changedClasses)
                            + "; write CLASS."
                            + constant);
        }
    }

    private static String replaceValue(String text, Matcher declaration, String value) {
        return text.substring(0, declaration.end(1)) + value + text.substring(declaration.end(2));
    }
}

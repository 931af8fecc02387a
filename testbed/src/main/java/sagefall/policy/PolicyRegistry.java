package sagefall.policy;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Creates policies from their specifications on the command line:
 *
 * <ul>
 *   <li>the name of a baseline policy
 *   <li>{@code module}: the load balancer of this build
 *   <li>{@code module:TUNABLE=VALUE,...}: the load balancer of this build with changed tunables
 *   <li>{@code module-without:MECHANISM}: the load balancer of this build with a {@link Mechanism}
 *       switched off
 *   <li>{@code sim:COMMAND}: the simulator adapter of another build, started by a shell command
 * </ul>
 */
public final class PolicyRegistry {

    /** All forms of specifications in one line, for help texts. */
    public static final String HELP =
            "module, module:TUNABLE=VALUE[,...], module-without:MECHANISM, "
                    + "sim:COMMAND, random, round-robin, least-in-flight, two-choices, oracle";

    private static final String NUMBER = "-?[0-9.]+([eE]-?[0-9]+)?";

    private PolicyRegistry() {}

    /**
     * Creates the policy that a specification describes.
     *
     * @param root root of the checkout whose policy files are compiled if the policy changes
     *     tunables
     * @throws PolicyException if the specification is invalid or the policy cannot be created
     */
    public static Policy of(String specification, Path root) throws PolicyException {
        if (specification.equals("module")) {
            return new ModulePolicy();
        }
        if (BaselinePolicies.names().contains(specification)) {
            return BaselinePolicies.of(specification);
        }
        int colon = specification.indexOf(':');
        String kind = colon < 0 ? specification : specification.substring(0, colon);
        String argument = specification.substring(colon + 1);
        return switch (kind) {
            case "module" ->
                    new RecompiledPolicy(
                            specification, root, parseTunables(specification, argument));
            case "module-without" ->
                    new RecompiledPolicy(specification, root, Mechanism.of(argument).tunables());
            case "sim" -> new ExternalProcessPolicy(specification, argument);
            default ->
                    throw new PolicyException(
                            specification + ": no such policy; there are " + HELP);
        };
    }

    private static Map<String, String> parseTunables(String specification, String list)
            throws PolicyException {
        Map<String, String> tunables = new LinkedHashMap<>();
        for (String assignment : list.split(",", 0)) {
            int equals = assignment.indexOf('=');
            if (equals < 1 || !assignment.substring(equals + 1).matches(NUMBER)) {
                throw new PolicyException(
                        specification + ": '" + assignment + "' is not TUNABLE=NUMBER");
            }
            tunables.put(assignment.substring(0, equals), assignment.substring(equals + 1));
        }
        return tunables;
    }
}

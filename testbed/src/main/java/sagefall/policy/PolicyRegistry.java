package sagefall.policy;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Policies by their specifications on the command line: a baseline; {@code module}, the load
 * balancer of this build; {@code module:NAME=VALUE,...} with changed tunables; {@code
 * module-without:MECHANISM}; {@code sim:COMMAND}, another build's simulator adapter.
 */
public final class PolicyRegistry {

    /** The specifications in one line, for help. */
    public static final String HELP =
            "module, module:TUNABLE=VALUE[,...], module-without:MECHANISM, "
                    + "sim:COMMAND, random, round-robin, least-in-flight, two-choices, oracle";

    private static final String NUMBER = "-?[0-9.]+([eE]-?[0-9]+)?";

    private PolicyRegistry() {}

    /**
     * The policy of a specification.
     *
     * @param root of the checkout whose policy files are compiled where tunables are changed
     * @throws PolicyException if there is no such policy, or it cannot be created
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
        String rest = specification.substring(colon + 1);
        return switch (kind) {
            case "module" ->
                    new RecompiledPolicy(specification, root, changes(specification, rest));
            case "module-without" ->
                    new RecompiledPolicy(specification, root, Mechanism.of(rest).changes());
            case "sim" -> new ExternalProcessPolicy(specification, rest);
            default ->
                    throw new PolicyException(
                            specification + ": no such policy; there are " + HELP);
        };
    }

    private static Map<String, String> changes(String specification, String list)
            throws PolicyException {
        Map<String, String> changes = new LinkedHashMap<>();
        for (String change : list.split(",", 0)) {
            int equals = change.indexOf('=');
            if (equals < 1 || !change.substring(equals + 1).matches(NUMBER)) {
                throw new PolicyException(
                        specification + ": '" + change + "' is not TUNABLE=NUMBER");
            }
            changes.put(change.substring(0, equals), change.substring(equals + 1));
        }
        return changes;
    }
}

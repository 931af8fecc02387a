package sagefall.policy;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Policies by the names that the command line takes: a baseline; {@code module}; {@code
 * module:NAME=VALUE,...} with changed tunables; {@code module-without:MECHANISM}; {@code
 * sim:COMMAND}, another build's adapter.
 */
public final class PolicyRegistry {

    /** One line for help. */
    public static final String HELP =
            "module, module:TUNABLE=VALUE[,...], module-without:MECHANISM, "
                    + "sim:COMMAND, random, round-robin, least-in-flight, two-choices, oracle";

    private PolicyRegistry() {}

    /** The policy of that name; the root is where the policy files are found. */
    public static Policy of(String spec, Path root) throws PolicyException {
        if (spec.equals("module")) {
            return new ModulePolicy();
        }
        if (BaselinePolicies.names().contains(spec)) {
            return BaselinePolicies.of(spec);
        }
        int colon = spec.indexOf(':');
        String kind = colon < 0 ? spec : spec.substring(0, colon);
        String rest = spec.substring(colon + 1);
        return switch (kind) {
            case "module" -> new RecompiledPolicy(spec, root, changes(spec, rest));
            case "module-without" -> new RecompiledPolicy(spec, root, Mechanism.of(rest).changes());
            case "sim" -> new ExternalProcessPolicy(spec, rest);
            default -> throw new PolicyException(spec + ": no such policy; there are " + HELP);
        };
    }

    private static Map<String, String> changes(String spec, String list) throws PolicyException {
        Map<String, String> changes = new LinkedHashMap<>();
        for (String change : list.split(",", 0)) {
            int equals = change.indexOf('=');
            if (equals < 1 || !change.substring(equals + 1).matches("-?[0-9.]+([eE]-?[0-9]+)?")) {
                throw new PolicyException(spec + ": '" + change + "' is not TUNABLE=NUMBER");
            }
            changes.put(change.substring(0, equals), change.substring(equals + 1));
        }
        return changes;
    }
}

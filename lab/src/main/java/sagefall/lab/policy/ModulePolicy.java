package sagefall.lab.policy;

import java.util.Map;
import sagefall.Choice;
import sagefall.LoadBalancer;
import sagefall.LoadBalancer.Actions;
import sagefall.LoadBalancer.Settings;

/** The decision module as it stands in this build. */
public final class ModulePolicy implements Policy {

    @Override
    public String name() {
        return "module";
    }

    @Override
    public LoadBalancer create(
            Settings settings, Map<String, Object> facts, Actions actions, Truth truth) {
        return new Choice(settings, actions);
    }
}

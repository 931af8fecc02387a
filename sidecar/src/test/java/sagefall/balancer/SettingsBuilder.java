package sagefall.balancer;

import java.util.List;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.FleetRules;
import sagefall.balancer.api.LoadReportSource;
import sagefall.balancer.api.RequestClass;
import sagefall.balancer.api.ServiceLimits;
import sagefall.balancer.api.Tenant;

/** Copies settings, and replaces the values that a test sets. */
final class SettingsBuilder {
    private final BalancerSettings base;
    private long seed;
    private int rank;
    private int replicas;
    private int zone;
    private List<RequestClass> classes;
    private List<Tenant> tenants;
    private double overQuotaWeight;
    private ServiceLimits limits;
    private FleetRules rules;
    private LoadReportSource loadReportSource;
    private boolean pollsDiscovery;
    private boolean cachesKeys;

    SettingsBuilder(BalancerSettings base) {
        this.base = base;
        seed = base.seed();
        rank = base.rank();
        replicas = base.replicas();
        zone = base.zone();
        classes = base.classes();
        tenants = base.tenants();
        overQuotaWeight = base.overQuotaWeight();
        limits = base.limits();
        rules = base.rules();
        loadReportSource = base.loadReportSource();
        pollsDiscovery = base.pollsDiscovery();
        cachesKeys = base.cachesKeys();
    }

    SettingsBuilder seed(long value) {
        seed = value;
        return this;
    }

    SettingsBuilder rank(int value) {
        rank = value;
        return this;
    }

    SettingsBuilder replicas(int value) {
        replicas = value;
        return this;
    }

    SettingsBuilder zone(int value) {
        zone = value;
        return this;
    }

    SettingsBuilder classes(List<RequestClass> value) {
        classes = value;
        return this;
    }

    SettingsBuilder tenants(List<Tenant> value) {
        tenants = value;
        return this;
    }

    SettingsBuilder overQuotaWeight(double value) {
        overQuotaWeight = value;
        return this;
    }

    SettingsBuilder limits(ServiceLimits value) {
        limits = value;
        return this;
    }

    SettingsBuilder rules(FleetRules value) {
        rules = value;
        return this;
    }

    SettingsBuilder loadReportSource(LoadReportSource value) {
        loadReportSource = value;
        return this;
    }

    SettingsBuilder pollsDiscovery(boolean value) {
        pollsDiscovery = value;
        return this;
    }

    SettingsBuilder cachesKeys(boolean value) {
        cachesKeys = value;
        return this;
    }

    BalancerSettings build() {
        return new BalancerSettings(
                seed,
                rank,
                replicas,
                zone,
                base.zones(),
                classes,
                tenants,
                overQuotaWeight,
                limits,
                rules,
                loadReportSource,
                pollsDiscovery,
                cachesKeys,
                base.tickMicros());
    }
}

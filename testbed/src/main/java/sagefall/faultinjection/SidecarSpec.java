package sagefall.faultinjection;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

/**
 * Parameters of one sidecar.
 *
 * @param index index among all sidecars
 * @param zone index of the zone
 * @param checkout checkout whose deploy file starts the sidecar
 * @param directory directory for configuration, log and recovery data
 * @param listen address on which the sidecar listens
 * @param settings balancer settings for the configuration
 */
record SidecarSpec(
        int index,
        int zone,
        Path checkout,
        Path directory,
        InetSocketAddress listen,
        Map<String, Object> settings) {}

package sagefall.faultinjection;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

/**
 * What a sidecar of a run is made of.
 *
 * @param index its place among all
 * @param zone the place of its zone
 * @param checkout whose deploy file starts it
 * @param directory its own, for configuration, log and recovery data
 * @param listen where it listens
 * @param settings the balancer's settings in its configuration
 */
record SidecarSpec(
        int index,
        int zone,
        Path checkout,
        Path directory,
        InetSocketAddress listen,
        Map<String, Object> settings) {}

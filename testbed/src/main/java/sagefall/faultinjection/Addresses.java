package sagefall.faultinjection;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Assigns the loopback addresses of a run. Each sidecar gets a /16 block, in which each of its
 * links has its own address.
 */
final class Addresses {

    private static final int LOOPBACK = 127;
    private static final int FIRST_BLOCK = 16;
    private static final int LISTENER_BLOCK = 201;
    private static final int DISCOVERY_BLOCK = 200;
    private static final int SERVERS_PER_BLOCK = 250;

    private Addresses() {}

    /** Returns the address that a sidecar listens on. */
    static InetAddress listener(int sidecar) throws UnknownHostException {
        return address(sidecar, LISTENER_BLOCK, 1);
    }

    /** Returns the address of the link from a sidecar to its discovery agent. */
    static InetAddress discoveryLink(int sidecar) throws UnknownHostException {
        return address(sidecar, DISCOVERY_BLOCK, 1);
    }

    /** Returns the address of the link from a sidecar to the server with the given slot index. */
    static InetAddress serverLink(int sidecar, int slot) throws UnknownHostException {
        return address(sidecar, slot / SERVERS_PER_BLOCK, 1 + slot % SERVERS_PER_BLOCK);
    }

    private static InetAddress address(int sidecar, int block, int host)
            throws UnknownHostException {
        return InetAddress.getByAddress(
                new byte[] {LOOPBACK, (byte) (FIRST_BLOCK + sidecar), (byte) block, (byte) host});
    }

    /** Formats an address as {@code host:port}, as configuration files require. */
    static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}

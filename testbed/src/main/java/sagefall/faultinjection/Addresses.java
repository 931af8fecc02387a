package sagefall.faultinjection;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** The loopback addresses of a run: each sidecar has a block, with an address for each link. */
final class Addresses {

    private static final int LOOPBACK = 127;
    private static final int FIRST_BLOCK = 16;
    private static final int LISTENER_BLOCK = 201;
    private static final int DISCOVERY_BLOCK = 200;
    private static final int SERVERS_PER_BLOCK = 250;

    private Addresses() {}

    /** Where a sidecar listens. */
    static InetAddress listener(int sidecar) throws UnknownHostException {
        return address(sidecar, LISTENER_BLOCK, 1);
    }

    /** The link from a sidecar to its discovery agent. */
    static InetAddress discoveryLink(int sidecar) throws UnknownHostException {
        return address(sidecar, DISCOVERY_BLOCK, 1);
    }

    /** The link from a sidecar to the server at a slot. */
    static InetAddress serverLink(int sidecar, int slot) throws UnknownHostException {
        return address(sidecar, slot / SERVERS_PER_BLOCK, 1 + slot % SERVERS_PER_BLOCK);
    }

    private static InetAddress address(int sidecar, int high, int low) throws UnknownHostException {
        return InetAddress.getByAddress(
                new byte[] {LOOPBACK, (byte) (FIRST_BLOCK + sidecar), (byte) high, (byte) low});
    }

    /** Host and port, as configurations have it. */
    static String text(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }
}

package sagefall.config;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Parses and formats socket addresses of the form {@code address:port}. Only literal IP addresses
 * are supported. Host names are not supported, because the platform has no DNS and a look-up would
 * block the event loop.
 */
public final class SocketAddresses {

    private static final int MAX_PORT = 65_535;
    private static final int NO_PORT = -1;

    private SocketAddresses() {}

    /**
     * Parses an address and a port.
     *
     * @throws IllegalArgumentException if the text is not an IPv4 or IPv6 literal with a port; the
     *     message quotes the text
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] address = colon < 0 ? null : addressBytes(text.substring(0, colon));
        int port = port(text.substring(colon + 1));
        if (address == null || port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("'" + text + "' is not an address and a port");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(address), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("'" + text + "' is not an address", e);
        }
    }

    private static byte[] addressBytes(String literal) {
        return NetUtil.createByteArrayFromIpAddressString(literal);
    }

    private static int port(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return NO_PORT;
        }
    }

    /** Formats an address in the form that {@link #parse} accepts. */
    public static String format(InetSocketAddress address) {
        return NetUtil.toSocketAddressString(address);
    }
}

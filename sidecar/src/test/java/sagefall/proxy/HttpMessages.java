package sagefall.proxy;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages with a {@code Content-Length} or without a body. */
final class HttpMessages {

    private HttpMessages() {}

    /**
     * An HTTP message whose length is known.
     *
     * @param startLine the request or status line
     * @param headers value of each header by case-insensitive name; the last value of a repeated
     *     header
     * @param body the body, with one character for each byte; empty if the message has no {@code
     *     Content-Length}
     */
    record Message(String startLine, Map<String, String> headers, String body) {
        int status() {
            return Integer.parseInt(startLine.split(" ", 0)[1]);
        }
    }

    /** Returns the next message, or null if the input has ended. */
    static Message read(InputStream in) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        // At the end of the input, readLine returns null. String.valueOf makes this "null", which
        // has no colon, so that EOFException is thrown below.
        for (String line = String.valueOf(readLine(in));
                !line.isEmpty();
                line = String.valueOf(readLine(in))) {
            int colon = line.indexOf(':');
            if (colon < 0) {
                throw new EOFException("input ended within the head");
            }
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("input ended within the body");
        }
        return new Message(startLine, headers, new String(body, StandardCharsets.ISO_8859_1));
    }

    /** Returns the next line without its line end, or null if the input ends within the line. */
    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        while (next != '\n') {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.append((char) next);
            }
            next = in.read();
        }
        return line.toString();
    }
}

package sagefall.load;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** The head of an HTTP/1.1 message: its first line, and its headers by case-insensitive name. */
final class HttpHead {

    private static final String STATUS_OK = " 200 ";

    private final String firstLine;
    private final Map<String, String> headers;

    private HttpHead(String firstLine, Map<String, String> headers) {
        this.firstLine = firstLine;
        this.headers = headers;
    }

    /** Reads a head. Returns null if the stream ends before the head is complete. */
    static HttpHead read(InputStream in) throws IOException {
        String firstLine = readLine(in);
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        String line = firstLine == null || firstLine.isEmpty() ? firstLine : readLine(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
            line = readLine(in);
        }
        return line == null ? null : new HttpHead(firstLine, headers);
    }

    /**
     * Reads a line without its line break. Returns null if the stream ends before the line break.
     */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        while (next != '\n') {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.US_ASCII);
    }

    String method() {
        return firstLine.split(" ", 0)[0];
    }

    String uri() {
        return firstLine.split(" ", 0)[1];
    }

    /** Returns whether this is the head of a response with status 200. */
    boolean isOk() {
        return firstLine.contains(STATUS_OK);
    }

    boolean has(String header) {
        return headers.containsKey(header);
    }

    /** Returns the value of Content-Length; 0 if that header is missing. */
    long contentLength() {
        return Long.parseLong(headers.getOrDefault("Content-Length", "0"));
    }

    @Override
    public String toString() {
        return firstLine + " " + headers;
    }
}

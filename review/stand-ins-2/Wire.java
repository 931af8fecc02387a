import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream, for the stand-ins. */
final class Wire {

    /** A message: its start line, its fields by lower-case name, its body. */
    static final class Message {
        String start;
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];

        /** Time of {@link System#nanoTime()} at which the first byte was read. */
        long firstByteNanos;

        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }
    }

    private Wire() {}

    /** Reads one message; returns null if the stream ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message message = new Message();
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int last4 = 0;
        while (last4 != 0x0d0a0d0a) {
            int b = in.read();
            if (b < 0) {
                if (head.size() == 0) {
                    return null;
                }
                throw new EOFException("the stream ended in a head");
            }
            if (head.size() == 0) {
                message.firstByteNanos = System.nanoTime();
            }
            head.write(b);
            last4 = last4 << 8 | b;
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        message.start = lines[0];
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            message.fields.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        if ("chunked".equalsIgnoreCase(message.field("Transfer-Encoding"))) {
            message.body = chunks(in);
        } else if (message.field("Content-Length") != null) {
            int length = Integer.parseInt(message.field("Content-Length"));
            message.body = in.readNBytes(length);
            if (message.body.length < length) {
                throw new EOFException("the stream ended in a body");
            }
        }
        return message;
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int length = Integer.parseInt(line(in).split(";")[0].trim(), 16);
            if (length == 0) {
                while (!line(in).isEmpty()) {
                    // Trailers are not used.
                }
                return body.toByteArray();
            }
            body.write(in.readNBytes(length));
            line(in);
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int b = in.read();
        while (b != '\n') {
            if (b < 0) {
                throw new EOFException("the stream ended in a line");
            }
            if (b != '\r') {
                text.append((char) b);
            }
            b = in.read();
        }
        return text.toString();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}

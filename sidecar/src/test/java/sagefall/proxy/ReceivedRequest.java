package sagefall.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A request as it came, and the connection that it came on. */
public record ReceivedRequest(HttpMessages.Message request, Socket socket) {
    /**
     * Answers it.
     *
     * @param status code and reason
     * @param headers further lines of the head, each with its end
     * @param body one byte a character
     */
    public void reply(String status, String headers, String body) throws IOException {
        raw(
                "HTTP/1.1 "
                        + status
                        + "\r\n"
                        + headers
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
    }

    /** Writes bytes, one for each character. */
    void raw(String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}

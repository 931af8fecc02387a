package sagefall.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A request that a server has received, and the socket on which the request arrived. */
public record ReceivedRequest(HttpMessages.Message request, Socket socket) {
    /**
     * Sends a response to the request.
     *
     * @param status status code and reason phrase
     * @param headers further header lines, each with its line end
     * @param body the body, sent with one byte for each character
     */
    public void respond(String status, String headers, String body) throws IOException {
        write(
                "HTTP/1.1 "
                        + status
                        + "\r\n"
                        + headers
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
    }

    /** Writes the text with one byte for each character. */
    void write(String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}

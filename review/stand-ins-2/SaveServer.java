import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A save server. It serves one request at a time on a connection, and its answer names the request:
 * id, key and body. A case may override {@link #answer}.
 */
class SaveServer {
    final Rig rig;
    final String uid;
    private final ServerSocket listening;

    /** Whether requests get no answer any more. */
    volatile boolean hangs;

    volatile long serviceMillis = 3;

    SaveServer(Rig rig, String uid) throws IOException {
        this.rig = rig;
        this.uid = uid;
        listening = new ServerSocket();
        listening.setReuseAddress(true);
        listening.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        rig.thread(this::accept);
    }

    int port() {
        return listening.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listening.accept();
            socket.setTcpNoDelay(true);
            rig.thread(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Wire.Message request = Wire.read(in); request != null; request = Wire.read(in)) {
                rig.record("run " + uid + " " + request.field("Request-Id") + " timeout="
                        + request.field("Request-Timeout-Ms"));
                rig.ran(uid, request);
                answer(socket, in, request);
            }
        } catch (IOException e) {
            // The sidecar has given the attempt up.
        }
    }

    /** The body of the answer to a request; a client can tell by it whose answer it is. */
    static String bodyFor(String id, String requestBody) {
        return "{\"saved\":\"" + id + "\",\"inventory\":\"" + requestBody + "\"}";
    }

    static String whole(String body) {
        return "HTTP/1.1 200 OK\r\nServer-Load: TEXT cpu=0.30, rps=20, avg_ms=3\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    void answer(Socket socket, BufferedInputStream in, Wire.Message request) throws Exception {
        Thread.sleep(serviceMillis);
        while (hangs) {
            Thread.sleep(50);
        }
        write(socket, whole(bodyFor(request.field("Request-Id"), request.text())));
    }

    static void write(Socket socket, String text) throws IOException {
        synchronized (socket) {
            socket.getOutputStream().write(Wire.bytes(text));
        }
    }
}

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Discovery, or the agent of a machine. It answers the whole list and watches as PROTOCOL says. It
 * can be slow, and it can be silent: a silent one accepts connections, answers nothing, and learns
 * nothing. When the silence ends it answers the calls that are open.
 */
final class Discovery {
    /** An entry of the list; {@code changed} is the revision at which its state last changed. */
    static final class Entry {
        final String uid;
        final int port;
        final String zone;
        String state = "in_service";
        long bootMs;
        long changed = 1;

        Entry(String uid, int port, String zone) {
            this.uid = uid;
            this.port = port;
            this.zone = zone;
        }

        String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"" + zone
                    + "\",\"model\":\"single-fast\",\"pod_group\":1,\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + "}";
        }
    }

    private final Rig rig;
    private final ServerSocket listening;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long revision = 41;
    private boolean silent;
    private long delayMillis;

    Discovery(Rig rig) throws IOException {
        this.rig = rig;
        listening = new ServerSocket();
        listening.setReuseAddress(true);
        listening.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        rig.thread(this::accept);
    }

    int port() {
        return listening.getLocalPort();
    }

    synchronized void add(String uid, int port, String zone) {
        entries.put(uid, new Entry(uid, port, zone));
    }

    /** Changes the state of an entry; returns the time at which discovery had the change. */
    synchronized long change(String uid, String state) {
        Entry entry = entries.get(uid);
        entry.state = state;
        entry.changed = ++revision;
        notifyAll();
        rig.record("discovery rev=" + revision + " " + uid + " " + state);
        return System.nanoTime();
    }

    /** From now on every answer is written this long after it would have been. */
    synchronized void delay(long millis) {
        delayMillis = millis;
        rig.record("discovery answers " + millis + " ms late");
    }

    synchronized void silence(boolean on) {
        silent = on;
        notifyAll();
        rig.record("discovery " + (on ? "is silent" : "answers again"));
    }

    synchronized String whole() {
        return list(true, 0);
    }

    private String list(boolean all, long from) {
        List<String> targets = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (all || entry.changed > from) {
                targets.add(entry.json());
            }
        }
        return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":[" + String.join(",", targets) + "]}";
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
            for (Wire.Message call = Wire.read(socket.getInputStream());
                    call != null;
                    call = Wire.read(socket.getInputStream())) {
                String answer = answer(call.start.split(" ")[1]);
                OutputStream out = socket.getOutputStream();
                out.write(Wire.bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + answer.length() + "\r\n\r\n" + answer));
                rig.record("discovery answered " + call.start.split(" ")[1] + " " + answer.substring(0, 20));
            }
        } catch (IOException e) {
            // The sidecar has given the call up.
        }
    }

    private String answer(String target) throws InterruptedException {
        long late;
        String answer;
        synchronized (this) {
            long from = number(target, "from=");
            long until = System.nanoTime() + Math.max(0, number(target, "hold_ms=")) * 1_000_000;
            while (silent || (from >= revision && System.nanoTime() < until)) {
                wait(silent ? 1000 : Math.max(1, (until - System.nanoTime()) / 1_000_000));
            }
            answer = list(from < 0, from);
            late = delayMillis;
        }
        if (late > 0) {
            Thread.sleep(late);
        }
        return answer;
    }

    private static long number(String target, String key) {
        int at = target.indexOf(key);
        return at < 0 ? -1 : Long.parseLong(target.substring(at + key.length()).split("&")[0]);
    }
}

package sagefall.load;

import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Measures the streaming of a real sidecar, started as the deploy file's {@code run} says, between
 * blocking clients and stand-in servers of this process. What it prints is what it counted;
 * docs/MEASURING.md says how to call it.
 */
@Command(
        name = "streams",
        mixinStandardHelpOptions = true,
        description =
                "Measures the streaming of a real sidecar: sums, memory, first byte, small"
                        + " requests.")
public final class StreamLoadCommand implements Callable<Integer> {

    private static final int MIB = 1024 * 1024;
    private static final int SERVERS = 8;

    private final StandInDiscovery directory = new StandInDiscovery();
    private final List<StandInServer> servers = new ArrayList<>();
    private final AtomicLong ids = new AtomicLong();
    private final AtomicInteger spoilt = new AtomicInteger();

    @Parameters(
            paramLabel = "MODE",
            description =
                    "streams: 200 of 64 MiB at once, both ways; first-byte: its time, streamed and"
                            + " whole; small: uploads of 300 bytes, against another build")
    private Mode mode;

    @Option(
            names = "--jar",
            defaultValue = SidecarProcess.JAR,
            description = "this build (${DEFAULT-VALUE})")
    private String jar;

    @Option(names = "--other", description = "the other build of small")
    private String other;

    /** What is measured. */
    enum Mode {
        STREAMS,
        FIRST_BYTE,
        SMALL
    }

    @Override
    public Integer call() throws Exception {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new StandInServer(0, "a", StandInServer.Service.NONE, directory));
        }
        switch (mode) {
            case STREAMS -> streams(jar);
            case FIRST_BYTE -> firstByte(jar);
            default -> small(jar, other == null ? jar : other);
        }
        return spoilt.get() == 0 ? 0 : 1;
    }

    /** A sidecar with or without the section for streams. */
    private SidecarProcess sidecar(String path, boolean streaming) throws Exception {
        Map<String, Object> rest =
                Map.of(
                        "aim_us",
                        30_000_000,
                        "deadline_us",
                        60_000_000,
                        "worth",
                        1,
                        "late_value",
                        0.5);
        Map<String, Object> export = new LinkedHashMap<>(rest);
        export.putAll(Map.of("name", "export", "effect", "pure", "streaming", true));
        Map<String, Object> append = new LinkedHashMap<>(rest);
        append.putAll(Map.of("name", "append", "effect", "side_effect"));
        Map<String, Object> settings =
                SidecarProcess.settings(
                        List.of(export, append), List.of("a"), Map.of("source", "none"));
        settings.put("discovery", "ask");
        Map<String, Object> extensions =
                !streaming
                        ? null
                        : Map.of(
                                "streaming",
                                Map.of(
                                        "classes",
                                        Map.of(
                                                "export",
                                                Map.of("max_answer_bytes", 100_000_000),
                                                "append",
                                                Map.of("max_request_bytes", 100_000_000)),
                                        "replay_bytes",
                                        0,
                                        "max_buffered_bytes",
                                        14_000_000));
        return new SidecarProcess(path, settings, extensions, directory, servers.get(0).port());
    }

    private String request(String method, String path, long length) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: a\r\nRequest-Id: "
                + Long.toHexString(ids.incrementAndGet())
                + "\r\nTenant: one\r\nRequest-Timeout-Ms: 60000\r\n"
                + (length > 0 ? "Content-Length: " + length + "\r\n" : "")
                + "\r\n";
    }

    /**
     * Asks for an answer and checks its sum; the time to the first byte of its body in
     * microseconds.
     */
    private long download(Socket socket, long length, int seed, long pause, long rest)
            throws IOException {
        long began = System.nanoTime();
        socket.getOutputStream()
                .write(
                        request("GET", "/export/" + length + "/" + seed + "/" + pause, 0)
                                .getBytes(StandardCharsets.US_ASCII));
        InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
        Map<String, String> head = StandInServer.head(in);
        if (head == null || !head.get("").contains(" 200 ")) {
            throw new IOException("answered " + head);
        }
        in.mark(1);
        in.read();
        in.reset();
        long first = (System.nanoTime() - began) / 1000;
        check(
                StandInServer.checksum(in, length, rest) == StandInServer.expected(length, seed),
                "a download's sum differs");
        return first;
    }

    private void upload(Socket socket, long length, int seed) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(request("POST", "/append/" + seed, length).getBytes(StandardCharsets.US_ASCII));
        StandInServer.body(out, 0, length, seed);
        InputStream in = socket.getInputStream();
        Map<String, String> head = StandInServer.head(in);
        if (head == null || !head.get("").contains(" 200 ")) {
            throw new IOException("answered " + head);
        }
        String sum =
                new String(
                        in.readNBytes(Integer.parseInt(head.get("Content-Length"))),
                        StandardCharsets.US_ASCII);
        check(
                sum.trim()
                        .equals(
                                length
                                        + " "
                                        + Long.toHexString(StandInServer.expected(length, seed))),
                "an upload's sum differs");
    }

    private void check(boolean held, String otherwise) {
        if (!held) {
            spoilt.incrementAndGet();
            System.out.println("  SPOILT: " + otherwise);
        }
    }

    // ---- 200 streams of 64 MiB at once, one in ten of the readers slow

    private void streams(String jar) throws Exception {
        for (boolean up : new boolean[] {false, true}) {
            System.out.println(
                    up
                            ? "uploads, 200 x 64 MiB"
                            : "downloads, 200 x 64 MiB, 20 of the readers slow");
            try (SidecarProcess sidecar = sidecar(jar, true)) {
                sidecar.print("before");
                long cpu = sidecar.cpuMillis();
                long began = System.nanoTime();
                int streams = 200;
                long length = 64L * MIB;
                CountDownLatch done = new CountDownLatch(streams);
                for (int i = 0; i < streams; i++) {
                    int seed = 1 + i * 37;
                    long rest = i % 10 == 0 ? 200 : 0;
                    StandInServer.daemon(
                            () -> {
                                try (Socket socket = sidecar.connect()) {
                                    if (up) {
                                        upload(socket, length, seed);
                                    } else {
                                        download(socket, length, seed, 0, rest);
                                    }
                                } catch (IOException e) {
                                    check(false, e.toString());
                                }
                                done.countDown();
                            });
                }
                long rss = 0;
                int descriptors = 0;
                int looks = 0;
                while (!done.await(100, TimeUnit.MILLISECONDS)) {
                    rss = Math.max(rss, sidecar.status("VmRSS"));
                    descriptors = Math.max(descriptors, sidecar.descriptors());
                    if (++looks % 50 == 0) {
                        sidecar.print("after " + looks / 10 + " s");
                    }
                }
                double seconds = (System.nanoTime() - began) / 1e9;
                double gib = streams * length / (1024.0 * MIB);
                System.out.printf(
                        "  %.1f GiB in %.1f s, %.2f s of processor time a GiB; peak RSS "
                                + "%d MiB, peak descriptors %d, failed %d%n",
                        gib,
                        seconds,
                        (sidecar.cpuMillis() - cpu) / 1000.0 / gib,
                        rss / 1024,
                        descriptors,
                        spoilt.get());
                StandInServer.sleep(12_000);
                sidecar.print("12 s after the last");
            }
        }
    }

    // ---- The first byte and the processor time of answers that both ways can carry, in pairs

    private void firstByte(String jar) throws Exception {
        int length = 60_000;
        System.out.println(
                "answers of 60,000 bytes whose rest comes 20 ms behind the first 100 bytes; and "
                        + "20,000 without that pause, on 8 connections");
        for (int pair = 0; pair < 3; pair++) {
            for (boolean streaming : new boolean[] {false, true}) {
                try (SidecarProcess sidecar = sidecar(jar, streaming);
                        Socket socket = sidecar.connect()) {
                    long[] first = new long[100];
                    for (int i = 0; i < first.length; i++) {
                        first[i] = download(socket, length, i + 1, 20, 0);
                    }
                    Arrays.sort(first);
                    long cpu = sidecar.cpuMillis();
                    long micros =
                            crowd(
                                    sidecar,
                                    8,
                                    20_000,
                                    (s, n) -> download(s, length, 1 + n % 100, 0, 0))[1];
                    double gib = 20_000.0 * length / (1024.0 * MIB);
                    System.out.printf(
                            "pair %d, %s: first byte median %.1f ms, 99%% %.1f ms; %.2f s of "
                                    + "processor time a GiB; median of a whole one %d us%n",
                            pair + 1,
                            streaming ? "streamed" : "whole   ",
                            first[50] / 1000.0,
                            first[98] / 1000.0,
                            (sidecar.cpuMillis() - cpu) / 1000.0 / gib,
                            micros);
                }
            }
        }
    }

    // ---- Small requests, this build without and with the section, and another build

    private void small(String jar, String other) throws Exception {
        System.out.println("uploads of 300 bytes, 60,000 on 8 connections after 20,000 to warm up");
        for (int pair = 0; pair < 3; pair++) {
            for (String build : List.of("other", "off", "on")) {
                String path = build.equals("other") ? other : jar;
                try (SidecarProcess sidecar = sidecar(path, build.equals("on"))) {
                    crowd(sidecar, 8, 20_000, (s, n) -> upload(s, 300, 1 + n % 1000));
                    long cpu = sidecar.cpuMillis();
                    long[] times =
                            crowd(sidecar, 8, 60_000, (s, n) -> upload(s, 300, 1 + n % 1000));
                    System.out.printf(
                            "pair %d, %-5s (%s): %.1f us of processor time each; %d requests/s; "
                                    + "median %d us, 99%% %d us%n",
                            pair + 1,
                            build,
                            new File(path).getName(),
                            (sidecar.cpuMillis() - cpu) * 1000.0 / 60_000,
                            times[0],
                            times[1],
                            times[2]);
                }
            }
        }
    }

    private interface Exchange {
        void with(Socket socket, int number) throws IOException;
    }

    /**
     * So many exchanges on so many connections: a second, median and 99th percentile in
     * microseconds.
     */
    private long[] crowd(SidecarProcess sidecar, int connections, int exchanges, Exchange exchange)
            throws Exception {
        long[] took = new long[exchanges];
        AtomicInteger next = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(connections);
        long began = System.nanoTime();
        for (int i = 0; i < connections; i++) {
            StandInServer.daemon(
                    () -> {
                        try (Socket socket = sidecar.connect()) {
                            for (int n; (n = next.getAndIncrement()) < exchanges; ) {
                                long at = System.nanoTime();
                                exchange.with(socket, n);
                                took[n] = (System.nanoTime() - at) / 1000;
                            }
                        } catch (IOException e) {
                            check(false, e.toString());
                        }
                        done.countDown();
                    });
        }
        done.await();
        long second = exchanges * 1_000_000_000L / (System.nanoTime() - began);
        Arrays.sort(took);
        return new long[] {second, took[exchanges / 2], took[exchanges / 100 * 99]};
    }
}

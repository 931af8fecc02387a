package sagefall.load;

import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Measures the streaming of a real sidecar, started as the deploy file's {@code run} says, between
 * blocking clients and stand-in servers of this process. What it prints is what it counted;
 * docs/MEASURING.md says how to call it.
 */
public final class StreamBenchmark {

    private static final int MIB = 1024 * 1024;
    private static final double GIB = 1024.0 * MIB;
    private static final int SERVERS = 8;
    private static final int PAIRS = 3;
    private static final int CONNECTIONS = 8;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1000.0;
    private static final double MICROS_PER_MILLI = 1000.0;

    private static final int STREAMS = 200;
    private static final long STREAM_BYTES = 64L * MIB;
    private static final int SLOW_READER_EVERY = 10;
    private static final long SLOW_READER_PAUSE_MILLIS = 200;
    private static final long IDLE_MILLIS = 12_000;

    private static final int ANSWER_BYTES = 60_000;
    private static final int FIRST_BYTE_EXCHANGES = 100;
    private static final int ANSWER_EXCHANGES = 20_000;

    private static final int SMALL_BYTES = 300;
    private static final int SMALL_WARM_UP = 20_000;
    private static final int SMALL_EXCHANGES = 60_000;

    private final StandInDiscovery discovery = new StandInDiscovery();
    private final List<StandInServer> servers = new ArrayList<>();
    private final StreamClient client = new StreamClient();

    /** Starts the stand-in servers. */
    public StreamBenchmark() throws IOException {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new StandInServer(0, "a", StandInService.NONE, discovery));
        }
    }

    /** Whether each sum was right and no exchange failed. */
    public boolean isCorrect() {
        return client.failures() == 0;
    }

    private SidecarProcess start(String jar, boolean streaming)
            throws IOException, InterruptedException {
        return new SidecarProcess(
                jar,
                settings(),
                streaming ? streamingExtension() : null,
                discovery,
                servers.get(0).port());
    }

    private static Map<String, Object> settings() {
        Map<String, Object> common =
                Map.of(
                        "aim_us",
                        30_000_000,
                        "deadline_us",
                        60_000_000,
                        "worth",
                        1,
                        "late_value",
                        0.5);
        Map<String, Object> export = new LinkedHashMap<>(common);
        export.putAll(Map.of("name", "export", "effect", "pure", "streaming", true));
        Map<String, Object> append = new LinkedHashMap<>(common);
        append.putAll(Map.of("name", "append", "effect", "side_effect"));
        Map<String, Object> settings =
                SidecarConfig.settings(
                        List.of(export, append), List.of("a"), Map.of("source", "none"));
        settings.put("discovery", "ask");
        return settings;
    }

    private static Map<String, Object> streamingExtension() {
        Map<String, Object> classes =
                Map.of(
                        "export",
                        Map.of("max_answer_bytes", 100_000_000),
                        "append",
                        Map.of("max_request_bytes", 100_000_000));
        return Map.of(
                "streaming",
                Map.of("classes", classes, "replay_bytes", 0, "max_buffered_bytes", 14_000_000));
    }

    /** 200 streams of 64 MiB at once, both directions, one in ten of the readers slow. */
    public void measureStreams(String jar) throws IOException, InterruptedException {
        for (boolean upload : new boolean[] {false, true}) {
            System.out.println(
                    upload
                            ? "uploads, 200 x 64 MiB"
                            : "downloads, 200 x 64 MiB, 20 of the readers slow");
            try (SidecarProcess sidecar = start(jar, true)) {
                measureStreams(sidecar, upload);
            }
        }
    }

    private void measureStreams(SidecarProcess sidecar, boolean upload)
            throws IOException, InterruptedException {
        ProcessStatistics statistics = sidecar.statistics();
        statistics.print("before");
        long cpuMillis = statistics.cpuMillis();
        long begin = System.nanoTime();
        CountDownLatch done = new CountDownLatch(STREAMS);
        for (int i = 0; i < STREAMS; i++) {
            int number = i;
            DaemonThreads.start(() -> stream(sidecar, upload, number, done));
        }
        long peakRssKib = 0;
        int peakDescriptors = 0;
        int polls = 0;
        while (!done.await(100, TimeUnit.MILLISECONDS)) {
            peakRssKib = Math.max(peakRssKib, statistics.status("VmRSS"));
            peakDescriptors = Math.max(peakDescriptors, statistics.descriptors());
            polls++;
            if (polls % 50 == 0) {
                statistics.print("after " + polls / 10 + " s");
            }
        }
        double seconds = (System.nanoTime() - begin) / NANOS_PER_SECOND;
        double gib = STREAMS * STREAM_BYTES / GIB;
        System.out.printf(
                "  %.1f GiB in %.1f s, %.2f s of processor time a GiB; peak RSS %d MiB, peak"
                        + " descriptors %d, failed %d%n",
                gib,
                seconds,
                (statistics.cpuMillis() - cpuMillis) / MILLIS_PER_SECOND / gib,
                peakRssKib / 1024,
                peakDescriptors,
                client.failures());
        DaemonThreads.sleep(IDLE_MILLIS);
        statistics.print("12 s after the last");
    }

    private void stream(SidecarProcess sidecar, boolean upload, int number, CountDownLatch done) {
        int seed = 1 + number * 37;
        long pause = number % SLOW_READER_EVERY == 0 ? SLOW_READER_PAUSE_MILLIS : 0;
        try (Socket socket = sidecar.connect()) {
            if (upload) {
                client.upload(socket, STREAM_BYTES, seed);
            } else {
                client.download(socket, new StreamClient.Download(STREAM_BYTES, seed, 0, pause));
            }
        } catch (IOException e) {
            client.fail(e.toString());
        }
        done.countDown();
    }

    /**
     * Time to the first byte, and processor time, of answers that can be streamed or buffered, in
     * pairs.
     */
    public void measureFirstByte(String jar) throws IOException, InterruptedException {
        System.out.println(
                "answers of 60,000 bytes whose rest comes 20 ms behind the first 100 bytes; and "
                        + "20,000 without that pause, on 8 connections");
        for (int pair = 0; pair < PAIRS; pair++) {
            for (boolean streaming : new boolean[] {false, true}) {
                try (SidecarProcess sidecar = start(jar, streaming)) {
                    measureFirstByte(sidecar, pair + 1, streaming);
                }
            }
        }
    }

    private void measureFirstByte(SidecarProcess sidecar, int pair, boolean streaming)
            throws IOException, InterruptedException {
        long[] firstByte = new long[FIRST_BYTE_EXCHANGES];
        try (Socket socket = sidecar.connect()) {
            for (int i = 0; i < firstByte.length; i++) {
                StreamClient.Download download =
                        new StreamClient.Download(ANSWER_BYTES, i + 1, 20, 0);
                firstByte[i] = client.download(socket, download);
            }
        }
        Arrays.sort(firstByte);
        long cpuMillis = sidecar.statistics().cpuMillis();
        ExchangeStatistics exchanges =
                repeat(
                        sidecar,
                        ANSWER_EXCHANGES,
                        (socket, number) ->
                                client.download(
                                        socket,
                                        new StreamClient.Download(
                                                ANSWER_BYTES, 1 + number % 100, 0, 0)));
        double gib = (double) ANSWER_EXCHANGES * ANSWER_BYTES / GIB;
        System.out.printf(
                "pair %d, %s: first byte median %.1f ms, 99%% %.1f ms; %.2f s of processor time a"
                        + " GiB; median of a complete one %d us%n",
                pair,
                streaming ? "streamed" : "buffered",
                firstByte[50] / MICROS_PER_MILLI,
                firstByte[98] / MICROS_PER_MILLI,
                (sidecar.statistics().cpuMillis() - cpuMillis) / MILLIS_PER_SECOND / gib,
                exchanges.medianMicros());
    }

    /** Small requests: this build without and with streaming, and another build. */
    public void measureSmall(String jar, String baselineJar)
            throws IOException, InterruptedException {
        System.out.println("uploads of 300 bytes, 60,000 on 8 connections after 20,000 to warm up");
        for (int pair = 1; pair <= PAIRS; pair++) {
            measureSmall(pair, "other", baselineJar, false);
            measureSmall(pair, "off", jar, false);
            measureSmall(pair, "on", jar, true);
        }
    }

    private void measureSmall(int pair, String name, String jar, boolean streaming)
            throws IOException, InterruptedException {
        try (SidecarProcess sidecar = start(jar, streaming)) {
            Exchange upload =
                    (socket, number) -> client.upload(socket, SMALL_BYTES, 1 + number % 1000);
            repeat(sidecar, SMALL_WARM_UP, upload);
            long cpuMillis = sidecar.statistics().cpuMillis();
            ExchangeStatistics exchanges = repeat(sidecar, SMALL_EXCHANGES, upload);
            System.out.printf(
                    "pair %d, %-5s (%s): %.1f us of processor time each; %d requests/s; "
                            + "median %d us, 99%% %d us%n",
                    pair,
                    name,
                    new File(jar).getName(),
                    (sidecar.statistics().cpuMillis() - cpuMillis) * 1000.0 / SMALL_EXCHANGES,
                    exchanges.perSecond(),
                    exchanges.medianMicros(),
                    exchanges.p99Micros());
        }
    }

    @FunctionalInterface
    private interface Exchange {
        void run(Socket socket, int number) throws IOException;
    }

    private record ExchangeStatistics(long perSecond, long medianMicros, long p99Micros) {}

    /** So many exchanges on eight connections. */
    private ExchangeStatistics repeat(SidecarProcess sidecar, int count, Exchange exchange)
            throws InterruptedException {
        long[] micros = new long[count];
        AtomicInteger next = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(CONNECTIONS);
        long begin = System.nanoTime();
        for (int i = 0; i < CONNECTIONS; i++) {
            DaemonThreads.start(
                    () -> {
                        repeat(sidecar, exchange, next, micros);
                        done.countDown();
                    });
        }
        done.await();
        long perSecond = count * 1_000_000_000L / (System.nanoTime() - begin);
        Arrays.sort(micros);
        return new ExchangeStatistics(perSecond, micros[count / 2], micros[count / 100 * 99]);
    }

    private void repeat(
            SidecarProcess sidecar, Exchange exchange, AtomicInteger next, long[] micros) {
        try (Socket socket = sidecar.connect()) {
            int number = next.getAndIncrement();
            while (number < micros.length) {
                long at = System.nanoTime();
                exchange.run(socket, number);
                micros[number] = (System.nanoTime() - at) / 1000;
                number = next.getAndIncrement();
            }
        } catch (IOException e) {
            client.fail(e.toString());
        }
    }
}

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
 * Measures the streaming of a real sidecar, and prints the results. Blocking clients and stand-in
 * servers run in this process. {@link SidecarChildProcess} starts the sidecar. docs/MEASURING.md
 * describes how to run the benchmark.
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

    private static final int RESPONSE_BYTES = 60_000;
    private static final int PAUSED_EXCHANGES = 100;
    private static final int RESPONSE_EXCHANGES = 20_000;

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

    /** Returns whether every checksum was correct and no exchange failed. */
    public boolean isCorrect() {
        return client.failures() == 0;
    }

    private SidecarChildProcess start(String jar, boolean streaming)
            throws IOException, InterruptedException {
        return new SidecarChildProcess(
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
                SidecarConfigFactory.settings(
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

    /**
     * Measures 200 streams of 64 MiB at once, downloads and then uploads. One in ten of the readers
     * of downloads is slow.
     */
    public void measureStreams(String jar) throws IOException, InterruptedException {
        for (boolean upload : new boolean[] {false, true}) {
            System.out.println(
                    upload
                            ? "uploads, 200 x 64 MiB"
                            : "downloads, 200 x 64 MiB, 20 of the readers slow");
            try (SidecarChildProcess sidecar = start(jar, true)) {
                measureStreams(sidecar, upload);
            }
        }
    }

    private void measureStreams(SidecarChildProcess sidecar, boolean upload)
            throws IOException, InterruptedException {
        ProcessStatistics statistics = sidecar.statistics();
        statistics.print("before");
        long cpuMillis = statistics.cpuMillis();
        long startNanos = System.nanoTime();
        CountDownLatch done = new CountDownLatch(STREAMS);
        for (int i = 0; i < STREAMS; i++) {
            int number = i;
            DaemonThreads.start(() -> stream(sidecar, upload, number, done));
        }
        long peakRssKib = 0;
        int peakDescriptors = 0;
        int samples = 0;
        while (!done.await(100, TimeUnit.MILLISECONDS)) {
            peakRssKib = Math.max(peakRssKib, statistics.statusKib("VmRSS"));
            peakDescriptors = Math.max(peakDescriptors, statistics.openDescriptors());
            samples++;
            if (samples % 50 == 0) {
                statistics.print("after " + samples / 10 + " s");
            }
        }
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
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
        statistics.print("12 s after the end");
    }

    private void stream(
            SidecarChildProcess sidecar, boolean upload, int number, CountDownLatch done) {
        int seed = 1 + number * 37;
        long pauseMillis = number % SLOW_READER_EVERY == 0 ? SLOW_READER_PAUSE_MILLIS : 0;
        try (Socket socket = sidecar.connect()) {
            if (upload) {
                client.upload(socket, STREAM_BYTES, seed);
            } else {
                client.download(
                        socket, new StreamClient.Download(STREAM_BYTES, seed, 0, pauseMillis));
            }
        } catch (IOException e) {
            client.recordFailure(e.toString());
        }
        done.countDown();
    }

    /**
     * Measures the time to the first byte and the processor time of responses, in pairs of buffered
     * and streamed responses.
     */
    public void measureFirstByte(String jar) throws IOException, InterruptedException {
        System.out.println(
                "responses of 60,000 bytes with a pause of 20 ms after the first 100 bytes; and "
                        + "20,000 without that pause, on 8 connections");
        for (int pair = 0; pair < PAIRS; pair++) {
            for (boolean streaming : new boolean[] {false, true}) {
                try (SidecarChildProcess sidecar = start(jar, streaming)) {
                    measureFirstByte(sidecar, pair + 1, streaming);
                }
            }
        }
    }

    private void measureFirstByte(SidecarChildProcess sidecar, int pair, boolean streaming)
            throws IOException, InterruptedException {
        long[] firstByte = new long[PAUSED_EXCHANGES];
        try (Socket socket = sidecar.connect()) {
            for (int i = 0; i < firstByte.length; i++) {
                StreamClient.Download download =
                        new StreamClient.Download(RESPONSE_BYTES, i + 1, 20, 0);
                firstByte[i] = client.download(socket, download);
            }
        }
        Arrays.sort(firstByte);
        long cpuMillis = sidecar.statistics().cpuMillis();
        ExchangeStatistics exchanges =
                runExchanges(
                        sidecar,
                        RESPONSE_EXCHANGES,
                        (socket, number) ->
                                client.download(
                                        socket,
                                        new StreamClient.Download(
                                                RESPONSE_BYTES, 1 + number % 100, 0, 0)));
        double gib = (double) RESPONSE_EXCHANGES * RESPONSE_BYTES / GIB;
        System.out.printf(
                "pair %d, %s: first byte median %.1f ms, 99%% %.1f ms; %.2f s of processor time a"
                        + " GiB; median of a response without pause %d us%n",
                pair,
                streaming ? "streamed" : "buffered",
                firstByte[50] / MICROS_PER_MILLI,
                firstByte[98] / MICROS_PER_MILLI,
                (sidecar.statistics().cpuMillis() - cpuMillis) / MILLIS_PER_SECOND / gib,
                exchanges.medianMicros());
    }

    /**
     * Measures small uploads in rounds. Each round measures the baseline build without streaming,
     * then the measured build without streaming, and then the measured build with streaming.
     */
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
        try (SidecarChildProcess sidecar = start(jar, streaming)) {
            Exchange upload =
                    (socket, number) -> client.upload(socket, SMALL_BYTES, 1 + number % 1000);
            runExchanges(sidecar, SMALL_WARM_UP, upload);
            long cpuMillis = sidecar.statistics().cpuMillis();
            ExchangeStatistics exchanges = runExchanges(sidecar, SMALL_EXCHANGES, upload);
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

    /** A request with its response on an open connection. */
    @FunctionalInterface
    private interface Exchange {
        void run(Socket socket, int number) throws IOException;
    }

    /** Throughput of exchanges, and percentiles of their latency. */
    private record ExchangeStatistics(long perSecond, long medianMicros, long p99Micros) {}

    /** Runs the given number of exchanges, distributed over {@link #CONNECTIONS} connections. */
    private ExchangeStatistics runExchanges(
            SidecarChildProcess sidecar, int count, Exchange exchange) throws InterruptedException {
        long[] micros = new long[count];
        AtomicInteger next = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(CONNECTIONS);
        long startNanos = System.nanoTime();
        for (int i = 0; i < CONNECTIONS; i++) {
            DaemonThreads.start(
                    () -> {
                        runExchanges(sidecar, exchange, next, micros);
                        done.countDown();
                    });
        }
        done.await();
        long perSecond = count * 1_000_000_000L / (System.nanoTime() - startNanos);
        Arrays.sort(micros);
        return new ExchangeStatistics(perSecond, micros[count / 2], micros[count / 100 * 99]);
    }

    /**
     * Runs exchanges on one connection. Takes the number of each exchange from {@code next}, and
     * ends when all numbers have been taken.
     */
    private void runExchanges(
            SidecarChildProcess sidecar, Exchange exchange, AtomicInteger next, long[] micros) {
        try (Socket socket = sidecar.connect()) {
            int number = next.getAndIncrement();
            while (number < micros.length) {
                long exchangeStartNanos = System.nanoTime();
                exchange.run(socket, number);
                micros[number] = (System.nanoTime() - exchangeStartNanos) / 1000;
                number = next.getAndIncrement();
            }
        } catch (IOException e) {
            client.recordFailure(e.toString());
        }
    }
}

package sagefall.load;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import org.apache.commons.rng.UniformRandomProvider;
import sagefall.emulator.RandomStreams;

/**
 * Open-loop load: requests at random times (Poisson arrivals) that do not wait for answers. A
 * latency runs from the time at which its request was due, so that a time in which nothing is
 * answered counts for all requests that it delays (no coordinated omission).
 */
public final class OpenLoopLoadGenerator {

    /**
     * What came of the requests.
     *
     * @param sent requests that were due so far
     * @param served answered with status 200
     * @param rejected answered with status 429 or 503
     * @param failed answered with another status, or not in time
     * @param unsent not sent, as too many were open
     * @param latencyMicros of what was served since the previous call
     */
    public record Statistics(
            long sent,
            long served,
            long rejected,
            long failed,
            long unsent,
            Histogram latencyMicros) {}

    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int NANOS_PER_MICRO = 1000;

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
    private final URI base;
    private final double perSecond;
    private final int timeoutMillis;
    private final int maxOpen;
    private final UniformRandomProvider random;
    private final Recorder latencies = new Recorder(3);
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong unsent = new AtomicLong();
    private volatile boolean ended;

    /**
     * Load that has not begun.
     *
     * @param port of the sidecar, on loopback
     * @param perSecond mean rate
     * @param timeoutMillis the timeout that clients state
     * @param maxOpen requests open at a time; one beyond is counted as unsent
     * @param seed of times and keys
     */
    public OpenLoopLoadGenerator(
            int port, double perSecond, int timeoutMillis, int maxOpen, long seed) {
        base = URI.create("http://127.0.0.1:" + port);
        this.perSecond = perSecond;
        this.timeoutMillis = timeoutMillis;
        this.maxOpen = maxOpen;
        random = new RandomStreams(seed).stream("open-loop");
    }

    /** Sends for so long, on the calling thread. */
    public void run(double seconds) {
        long begin = System.nanoTime();
        double at = 0;
        while (!ended) {
            at += -Math.log(1 - random.nextDouble()) / perSecond;
            if (at > seconds) {
                return;
            }
            long due = begin + (long) (1e9 * at);
            parkUntil(due);
            send(due);
        }
    }

    private void parkUntil(long due) {
        long left = due - System.nanoTime();
        while (left > 0 && !ended) {
            LockSupport.parkNanos(left);
            left = due - System.nanoTime();
        }
    }

    /** Sends nothing more; from any thread. */
    public void end() {
        ended = true;
    }

    private void send(long due) {
        sent.incrementAndGet();
        if (open.incrementAndGet() > maxOpen) {
            open.decrementAndGet();
            unsent.incrementAndGet();
            return;
        }
        String key = Integer.toHexString(random.nextInt(1000));
        HttpRequest request =
                HttpRequest.newBuilder(base.resolve("/save/" + key))
                        .header("Request-Id", String.format("%016x", random.nextLong()))
                        .header("Tenant", "one")
                        .header("Request-Timeout-Ms", String.valueOf(timeoutMillis))
                        .header(
                                "Idempotency-Key",
                                String.format("%016x%016x", random.nextLong(), random.nextLong()))
                        .timeout(Duration.ofMillis(timeoutMillis + 500L))
                        .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[300]))
                        .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .whenComplete(
                        (answer, error) -> count(due, error == null ? answer.statusCode() : 0));
    }

    private void count(long due, int status) {
        open.decrementAndGet();
        switch (status) {
            case OK -> {
                served.incrementAndGet();
                long micros = (System.nanoTime() - due) / NANOS_PER_MICRO;
                latencies.recordValue(Math.max(1, micros));
            }
            case TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE -> rejected.incrementAndGet();
            default -> failed.incrementAndGet();
        }
    }

    /** Waits until all are answered, at most so long; how many requests are still open then. */
    public int settle(long millis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (open.get() > 0 && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        return open.get();
    }

    /** Counts since the begin; latencies since the previous call. */
    public Statistics statistics() {
        return new Statistics(
                sent.get(),
                served.get(),
                rejected.get(),
                failed.get(),
                unsent.get(),
                latencies.getIntervalHistogram());
    }
}

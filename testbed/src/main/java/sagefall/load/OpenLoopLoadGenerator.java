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
 * Sends open-loop load: Poisson arrivals that do not depend on responses. The latency of a request
 * is measured from the time at which it was due, so that a stall counts for all requests that it
 * delays. Measuring from the due time avoids coordinated omission.
 */
public final class OpenLoopLoadGenerator {

    /**
     * Numbers of requests by outcome, and latencies.
     *
     * @param sent requests that were due so far, including those that were not sent
     * @param served requests with a response of status 200
     * @param rejected requests with a response of status 429 or 503
     * @param failed requests with a response of another status, and requests without a response in
     *     time
     * @param unsent requests that were not sent, because too many requests were open
     * @param latencyMicros latencies of the requests that were served since the previous call of
     *     {@link OpenLoopLoadGenerator#statistics}
     */
    public record Statistics(
            long sent,
            long served,
            long rejected,
            long failed,
            long unsent,
            Histogram latencyMicros) {}

    /**
     * Time that the generator waits for a response after the timeout that the request states. If no
     * response has arrived by then, the request has failed.
     */
    private static final long RESPONSE_MARGIN_MILLIS = 500;

    private static final int KEYS = 1000;
    private static final int BODY_BYTES = 300;

    /** Status that is recorded for a request without a response. */
    private static final int NO_RESPONSE = 0;

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
    private final double requestsPerSecond;
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
    private volatile boolean stopped;

    /**
     * Creates a generator. The generator sends nothing before {@link #run} is called.
     *
     * @param port port of the sidecar on loopback
     * @param requestsPerSecond mean rate of the arrivals
     * @param timeoutMillis timeout that each request states in a header
     * @param maxOpen maximum number of open requests; a request that would exceed this maximum is
     *     counted as unsent
     * @param seed seed of arrival times, keys and ids
     */
    public OpenLoopLoadGenerator(
            int port, double requestsPerSecond, int timeoutMillis, int maxOpen, long seed) {
        base = URI.create("http://127.0.0.1:" + port);
        this.requestsPerSecond = requestsPerSecond;
        this.timeoutMillis = timeoutMillis;
        this.maxOpen = maxOpen;
        random = new RandomStreams(seed).stream("open-loop");
    }

    /**
     * Sends requests on the calling thread for the given time. Ends earlier if {@link #stop} is
     * called.
     */
    public void run(double seconds) {
        long startNanos = System.nanoTime();
        double dueSecond = 0;
        while (!stopped) {
            dueSecond += -Math.log(1 - random.nextDouble()) / requestsPerSecond;
            if (dueSecond > seconds) {
                return;
            }
            long dueNanos = startNanos + (long) (1e9 * dueSecond);
            parkUntil(dueNanos);
            send(dueNanos);
        }
    }

    private void parkUntil(long dueNanos) {
        long remainingNanos = dueNanos - System.nanoTime();
        while (remainingNanos > 0 && !stopped) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = dueNanos - System.nanoTime();
        }
    }

    /** Stops sending. May be called from any thread. */
    public void stop() {
        stopped = true;
    }

    private void send(long dueNanos) {
        sent.incrementAndGet();
        if (open.incrementAndGet() > maxOpen) {
            open.decrementAndGet();
            unsent.incrementAndGet();
            return;
        }
        String key = Integer.toHexString(random.nextInt(KEYS));
        HttpRequest request =
                HttpRequest.newBuilder(base.resolve("/save/" + key))
                        .header("Request-Id", String.format("%016x", random.nextLong()))
                        .header("Tenant", "one")
                        .header("Request-Timeout-Ms", String.valueOf(timeoutMillis))
                        .header(
                                "Idempotency-Key",
                                String.format("%016x%016x", random.nextLong(), random.nextLong()))
                        .timeout(Duration.ofMillis(timeoutMillis + RESPONSE_MARGIN_MILLIS))
                        .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[BODY_BYTES]))
                        .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .whenComplete(
                        (response, error) ->
                                recordOutcome(
                                        dueNanos,
                                        error == null ? response.statusCode() : NO_RESPONSE));
    }

    private void recordOutcome(long dueNanos, int status) {
        open.decrementAndGet();
        switch (status) {
            case OK -> {
                served.incrementAndGet();
                long micros = (System.nanoTime() - dueNanos) / NANOS_PER_MICRO;
                latencies.recordValue(Math.max(1, micros));
            }
            case TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE -> rejected.incrementAndGet();
            default -> failed.incrementAndGet();
        }
    }

    /**
     * Waits until no request is open, at most for the given time.
     *
     * @return the number of requests that are still open
     */
    public int awaitResponses(long millis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (open.get() > 0 && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        return open.get();
    }

    /** Returns the counts since the start, and the latencies since the previous call. */
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

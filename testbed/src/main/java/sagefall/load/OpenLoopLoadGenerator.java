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
 * Requests at times that are drawn ahead and wait for no answer. A latency runs from the time at
 * which its request was meant to be sent, so a spell in which nothing is answered costs all that it
 * delays.
 */
public final class OpenLoopLoadGenerator {

    /** What came of the requests of a spell, and of those before. */
    public record Figures(
            long sent, long served, long refused, long failed, long unsent, Histogram micros) {}

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
    private final URI base;
    private final double perSecond;
    private final int timeoutMillis;
    private final int most;
    private final UniformRandomProvider random;
    private final Recorder latencies = new Recorder(3);
    private final AtomicInteger out = new AtomicInteger();
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong unsent = new AtomicLong();
    private volatile boolean ended;

    /**
     * @param port of the sidecar, on loopback
     * @param most requests out at a time; one that would pass it is counted as unsent
     */
    public OpenLoopLoadGenerator(
            int port, double perSecond, int timeoutMillis, int most, long seed) {
        base = URI.create("http://127.0.0.1:" + port);
        this.perSecond = perSecond;
        this.timeoutMillis = timeoutMillis;
        this.most = most;
        random = new RandomStreams(seed).stream("open-loop");
    }

    /** Sends for so long, in the calling thread. */
    public void run(double seconds) {
        long begin = System.nanoTime();
        double at = 0;
        while (!ended) {
            at += -Math.log(1 - random.nextDouble()) / perSecond;
            if (at > seconds) {
                return;
            }
            long due = begin + (long) (1e9 * at);
            for (long left; (left = due - System.nanoTime()) > 0 && !ended; ) {
                LockSupport.parkNanos(left);
            }
            send(due);
        }
    }

    /** Sends nothing more. */
    public void end() {
        ended = true;
    }

    private void send(long due) {
        sent.incrementAndGet();
        if (out.incrementAndGet() > most) {
            out.decrementAndGet();
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
                        (answer, error) -> {
                            out.decrementAndGet();
                            int status = error == null ? answer.statusCode() : 0;
                            if (status == 200) {
                                served.incrementAndGet();
                                latencies.recordValue(
                                        Math.max(1, (System.nanoTime() - due) / 1000));
                            } else if (status == 429 || status == 503) {
                                refused.incrementAndGet();
                            } else {
                                failed.incrementAndGet();
                            }
                        });
    }

    /** Waits until all is answered; how many requests are still out after so long. */
    public int settle(long millis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (out.get() > 0 && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        return out.get();
    }

    /** Counts since the beginning; latencies, in microseconds, since the last call. */
    public Figures figures() {
        return new Figures(
                sent.get(),
                served.get(),
                refused.get(),
                failed.get(),
                unsent.get(),
                latencies.getIntervalHistogram());
    }
}

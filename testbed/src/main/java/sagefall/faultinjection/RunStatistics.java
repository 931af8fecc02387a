package sagefall.faultinjection;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import sagefall.faultinjection.EventHistory.Entry;

/**
 * What was served in a play, counted from its history by wishes of clients as the emulator counts:
 * worth answered within the aim, in the second of the first try.
 *
 * @param served part of the worth that was asked for
 * @param worstSecond the least part of any second
 * @param back seconds from the end of the last fault until 0.95 of the part served before the first
 *     one is served again for two seconds; negative where that never came
 * @param answers tries by what became of them
 * @param attempts sends to servers for each wish; {@code crossings}: those to another zone that
 *     arrived
 * @param asked worth by second, and {@code got} what was served of it
 */
public record RunStatistics(
        double served,
        double worstSecond,
        double back,
        double before,
        Map<String, Long> answers,
        double p50Millis,
        double p95Millis,
        double p99Millis,
        double attempts,
        double crossings,
        long requests,
        long stallMillis,
        double[] asked,
        double[] got) {

    private static final double ENOUGH = 0.95;
    private static final int STEADY = 2;

    private static final class Wish {
        private long at;
        private double worth;
        private long servedAt = Long.MAX_VALUE;
    }

    static RunStatistics of(List<Entry> history) {
        long zero = 0;
        double aim = 0;
        double beyond = 1;
        int seconds = 1;
        long stall = 0;
        double firstFault = Double.MAX_VALUE;
        double lastFault = 0;
        Map<Long, Wish> wishes = new TreeMap<>();
        Map<String, Wish> byId = new HashMap<>();
        Map<String, Long> answers = new TreeMap<>();
        Map<Long, Long> serverZone = new HashMap<>();
        Map<String, Long> sender = new HashMap<>();
        JsonNode zones = null;
        long sends = 0;
        long crossings = 0;
        for (Entry e : history) {
            switch (e.kind()) {
                case "play" -> {
                    aim = 1000.0 * e.number("aim_us");
                    beyond = e.line().path("over_share_worth").asDouble(1);
                    zones = e.line().path("sidecars");
                    seconds = (int) Math.ceil(e.line().path("seconds").asDouble(1));
                }
                case "server" -> serverZone.put(e.number("server"), e.number("zone"));
                case "send" -> {
                    sends++;
                    sender.put(e.text("id"), e.number("who"));
                }
                case "arrive" -> {
                    long who = sender.getOrDefault(e.text("id"), -1L);
                    crossings +=
                            who >= 0
                                            && zones.path((int) who).asLong()
                                                    != serverZone.getOrDefault(
                                                            e.number("server"), -1L)
                                    ? 1
                                    : 0;
                }
                case "begin" -> zero = e.at();
                case "stall" -> stall = Math.max(stall, e.number("ms"));
                case "fault" -> {
                    firstFault = Math.min(firstFault, (e.at() - zero) / 1e9);
                    lastFault = Math.max(lastFault, (e.at() - zero) / 1e9);
                }
                case "intent", "missed" -> {
                    Wish wish = wishes.computeIfAbsent(e.number("wish"), n -> new Wish());
                    if (wish.at == 0) {
                        wish.at = e.at();
                        wish.worth = e.line().path("beyond").asBoolean() ? beyond : 1;
                    }
                    if (e.kind().equals("missed")) {
                        answers.merge("sidecar down", 1L, Long::sum);
                    } else {
                        byId.put(e.text("id"), wish);
                    }
                }
                case "answer" -> {
                    answers.merge(word(e.number("status")), 1L, Long::sum);
                    Wish wish = byId.get(e.text("id"));
                    if (wish != null && e.number("status") == 200) {
                        wish.servedAt = Math.min(wish.servedAt, e.at());
                    }
                }
                case "left" -> answers.merge("left", 1L, Long::sum);
                default -> {}
            }
        }
        double[] asked = new double[seconds];
        double[] got = new double[seconds];
        Histogram micros = new Histogram(60_000_000, 3);
        for (Wish w : wishes.values()) {
            int second = (int) Math.min(seconds - 1, Math.max(0, (w.at - zero) / 1_000_000_000));
            asked[second] += w.worth;
            if (w.servedAt != Long.MAX_VALUE) {
                micros.recordValue(Math.min(60_000_000, (w.servedAt - w.at) / 1000));
                got[second] += w.servedAt - w.at <= aim ? w.worth : 0;
            }
        }
        double before = part(asked, got, 1, (int) Math.min(seconds, Math.max(2, firstFault)));
        return new RunStatistics(
                part(asked, got, 0, seconds),
                worst(asked, got),
                back(asked, got, before, lastFault),
                before,
                answers,
                micros.getValueAtPercentile(50) / 1000.0,
                micros.getValueAtPercentile(95) / 1000.0,
                micros.getValueAtPercentile(99) / 1000.0,
                sends / (double) Math.max(1, wishes.size()),
                crossings / (double) Math.max(1, wishes.size()),
                wishes.size(),
                stall,
                asked,
                got);
    }

    private static String word(long status) {
        return status == 200
                ? "served"
                : status == 429 || status == 503
                        ? "refused"
                        : status == ClientLoad.UNREACHABLE
                                ? "unreachable"
                                : status == ClientLoad.BROKEN ? "unanswered" : "failed";
    }

    /** Of some seconds together. */
    private static double part(double[] asked, double[] got, int from, int to) {
        double a = 0;
        double g = 0;
        for (int s = from; s < Math.min(to, asked.length); s++) {
            a += asked[s];
            g += got[s];
        }
        return a == 0 ? 1 : g / a;
    }

    private static double worst(double[] asked, double[] got) {
        double worst = 1;
        for (int s = 0; s < asked.length; s++) {
            worst = asked[s] == 0 ? worst : Math.min(worst, got[s] / asked[s]);
        }
        return worst;
    }

    private static double back(double[] asked, double[] got, double before, double lastFault) {
        for (int s = (int) lastFault; s + STEADY <= asked.length; s++) {
            if (part(asked, got, s, s + STEADY) >= ENOUGH * before) {
                return Math.max(0, s - lastFault);
            }
        }
        return -1;
    }

    /** Seconds and values that a page or a person reads. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(
                String.format(
                        "%d wishes; served %.3f of the worth, worst second %.3f, before the "
                                + "first fault"
                                + " %.3f; %s",
                        requests,
                        served,
                        worstSecond,
                        before,
                        back < 0
                                ? "0.95 of that was not reached again"
                                : String.format("0.95 of that again %.1f s after the last", back)));
        lines.add(
                String.format(
                        "tries %s; p50 %.0f ms, p99 %.0f ms; the rig ran at most %d ms late",
                        answers, p50Millis, p99Millis, stallMillis));
        return lines;
    }
}

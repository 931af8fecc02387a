package sagefall.faultinjection;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import sagefall.faultinjection.EventHistory.Entry;

/** One page about a play that needs nothing else: members as rows, time across. */
final class RunReport {

    private static final int WIDTH = 1080;
    private static final int LEFT = 110;
    private static final int ROW = 16;
    private static final int BAND = 60;
    private static final int TOP = 34;
    private static final String STYLE =
            """
            body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:1120px;padding:0 1em}
            body{color:#222}
            h1{font-size:1.5em}h2{font-size:1.1em;margin-top:1.6em}svg{width:100%;height:auto}
            .tick{font:10px system-ui;fill:#666}.grid{stroke:#e4e4e4}.row{font:10px system-ui;\
            fill:#333}
            .fault{fill:#d55e00;fill-opacity:.09}.name{font:9px system-ui;fill:#944}.bad{color:#b00}
            .up{fill:#cfe3f3}.down{fill:#444}.stop{fill:#e69f00}.start{fill:#bbb}.cold{fill:#56b4e9}
            .drain{fill:#cc79a7}.served{fill:#009e73}.refused{fill:#e69f00}.lost{fill:#b00}
            .breach{stroke:#b00}
            code{background:#f4f4f4;padding:.1em .3em}.key span{margin-right:1.2em}
            .key i{display:inline-block;width:.9em;height:.9em;margin-right:.35em;\
            vertical-align:-1px}
            """;

    private final StringBuilder out = new StringBuilder();
    private final RunResult play;
    private final long zero;
    private final double seconds;

    private RunReport(RunResult play, List<Entry> history) {
        this.play = play;
        zero = play.zero();
        double last =
                history.stream()
                        .filter(e -> e.kind().equals("answer") || e.kind().equals("process"))
                        .mapToDouble(e -> (e.at() - zero) / 1e9)
                        .max()
                        .orElse(1);
        seconds = Math.max(1, Math.min(last, play.figures().asked().length + 12));
    }

    static String of(RunResult play, List<Entry> history) {
        RunReport page = new RunReport(play, history);
        page.head(history);
        page.picture(history);
        page.out.append("</body></html>\n");
        return page.out.toString();
    }

    private void add(String format, Object... values) {
        out.append(String.format(Locale.ROOT, format, values)).append('\n');
    }

    private static String text(String s) {
        return s.replace("&", "&amp;").replace("<", "&lt;").replace("'", "&#39;");
    }

    private void head(List<Entry> history) {
        String title =
                history.stream()
                        .filter(e -> e.kind().equals("play"))
                        .findFirst()
                        .map(e -> e.text("scenario") + ", seed " + e.number("seed"))
                        .orElse("a play");
        out.append("<!doctype html><html lang='en'><head><meta charset='utf-8'><title>")
                .append(text(title))
                .append("</title><style>")
                .append(STYLE)
                .append("</style></head><body>\n");
        add("<h1>%s</h1>", text(title));
        play.figures().lines().forEach(line -> add("<p>%s</p>", text(line)));
        if (play.isVoid()) {
            add("<p class='bad'>Void: the machine stood still for too long.</p>");
        } else if (play.breaches().isEmpty()) {
            add("<p>No rule was broken. Again by: <code>%s</code></p>", text(play.again()));
        } else {
            add(
                    "<p class='bad'>%d breaches. Again by: <code>%s</code></p><ul>",
                    play.breaches().size(), text(play.again()));
            play.breaches().stream()
                    .limit(20)
                    .forEach(
                            b ->
                                    add(
                                            "<li class='bad'>%.3f s, %s: %s</li>",
                                            (b.at() - zero) / 1e9, b.rule(), text(b.what())));
            add("</ul>");
        }
        add(
                "<p class='key'>%s</p>",
                key("up", "#cfe3f3")
                        + key("starting", "#bbb")
                        + key("cold", "#56b4e9")
                        + key("drains", "#cc79a7")
                        + key("stands still", "#e69f00")
                        + key("down", "#444")
                        + key("served", "#009e73")
                        + key("refused", "#e69f00")
                        + key("failed or unanswered", "#b00"));
    }

    private static String key(String name, String colour) {
        return "<span><i style='background:" + colour + "'></i>" + name + "</span>";
    }

    private double x(long at) {
        return x((at - zero) / 1e9);
    }

    private double x(double second) {
        return LEFT + (WIDTH - LEFT - 10) * Math.max(0, Math.min(1, second / seconds));
    }

    private void picture(List<Entry> history) {
        Map<String, List<String[]>> rows = states(history);
        int height = TOP + BAND + 14 + rows.size() * ROW + 20;
        add("<svg viewBox='0 0 %d %d' role='img' aria-label='members over time'>", WIDTH, height);
        for (int s = 0; s <= seconds; s += 5) {
            add(
                    "<line class='grid' x1='%.1f' x2='%.1f' y1='%d' y2='%d'/>",
                    x(s), x(s), TOP, height - 18);
            add(
                    "<text class='tick' x='%.1f' y='%d' text-anchor='middle'>%d s</text>",
                    x(s), height - 6, s);
        }
        band(history);
        int y = TOP + BAND + 14;
        for (Map.Entry<String, List<String[]>> row : rows.entrySet()) {
            add(
                    "<text class='row' x='%d' y='%d' text-anchor='end'>%s</text>",
                    LEFT - 6, y + 11, row.getKey());
            for (String[] piece : row.getValue()) {
                double from = Double.parseDouble(piece[1]);
                double to = Double.parseDouble(piece[2]);
                add(
                        "<rect class='%s' x='%.1f' y='%d' width='%.1f' height='%d'><title>%s: %s,"
                                + " %.2f to %.2f s</title></rect>",
                        piece[0],
                        x(from),
                        y + 2,
                        Math.max(0.6, x(to) - x(from)),
                        ROW - 4,
                        row.getKey(),
                        piece[0],
                        from,
                        to);
            }
            y += ROW;
        }
        faults(history, height);
        play.breaches().stream()
                .limit(200)
                .forEach(
                        b ->
                                add(
                                        "<line class='breach' x1='%.1f' x2='%.1f' "
                                                + "y1='%d' "
                                                + "y2='%d'><title>%s</title></line>",
                                        x(b.at()), x(b.at()), TOP, height - 18, text(b.what())));
        add("</svg>");
    }

    /** Answers of each half second, as parts of all. */
    private void band(List<Entry> history) {
        int count = (int) Math.ceil(seconds * 2);
        int[][] sums = new int[count][3];
        for (Entry e : history) {
            int at = (int) ((e.at() - zero) / 500_000_000L);
            if (e.kind().equals("answer") && at >= 0 && at < count) {
                long status = e.number("status");
                sums[at][status == 200 ? 0 : status == 429 || status == 503 ? 1 : 2]++;
            }
        }
        String[] names = {"served", "refused", "lost"};
        for (int i = 0; i < count; i++) {
            double all = sums[i][0] + sums[i][1] + sums[i][2];
            double y = TOP + BAND;
            for (int k = 0; k < 3 && all > 0; k++) {
                double high = BAND * sums[i][k] / all;
                y -= high;
                if (high > 0) {
                    add(
                            "<rect class='%s' x='%.1f' y='%.1f' width='%.1f'"
                                    + " height='%.1f'><title>%.1f s: %d %s</title></rect>",
                            names[k],
                            x(i / 2.0),
                            y,
                            x((i + 1) / 2.0) - x(i / 2.0) - 0.4,
                            high,
                            i / 2.0,
                            sums[i][k],
                            names[k]);
                }
            }
        }
        add(
                "<text class='row' x='%d' y='%d' text-anchor='end'>answers</text>",
                LEFT - 6, TOP + BAND / 2);
    }

    private void faults(List<Entry> history, int height) {
        Map<String, Entry> open = new HashMap<>();
        int line = 0;
        for (Entry e : history) {
            if (!e.kind().equals("fault")) {
                continue;
            }
            String key = e.text("what") + e.number("place") + e.line().path("servers");
            if (e.line().path("on").asBoolean() && !e.text("what").equals("replace")) {
                open.put(key, e);
            } else if (open.containsKey(key)) {
                Entry from = open.remove(key);
                add(
                        "<rect class='fault' x='%.1f' y='%d' width='%.1f' height='%d'/>",
                        x(from.at()),
                        TOP,
                        Math.max(1, x(e.at()) - x(from.at())),
                        height - 18 - TOP);
                add(
                        "<text class='name' x='%.1f' y='%d'>%s</text>",
                        x(from.at()) + 2, 10 + 10 * (line++ % 3), e.text("what").replace('_', ' '));
            }
        }
    }

    /** By member, what it was from when to when: class, seconds, seconds. */
    private Map<String, List<String[]>> states(List<Entry> history) {
        Map<String, List<String[]>> rows = new LinkedHashMap<>();
        Map<String, String> state = new HashMap<>();
        Map<String, Double> since = new HashMap<>();
        Map<String, List<String>> inProcess = new HashMap<>();
        for (Entry e : history) {
            if (e.kind().equals("play")) {
                for (int i = 0; i < e.line().path("sidecars").size(); i++) {
                    rows.put("sidecar " + i, new ArrayList<>());
                }
            }
            if (e.kind().equals("process") && e.line().has("who")) {
                String next =
                        switch (e.text("what")) {
                            case "start" -> "start";
                            case "ready", "cont" -> "up";
                            case "kill", "exit", "stuck" -> "down";
                            case "stop" -> "stop";
                            case "term" -> "drain";
                            default -> "up";
                        };
                turn(rows, state, since, "sidecar " + e.number("who"), next, e.at());
            } else if (e.kind().equals("server")) {
                String name = String.format("server %08x", e.number("server"));
                turn(
                        rows,
                        state,
                        since,
                        name,
                        switch (e.text("what")) {
                            case "cold" -> "cold";
                            case "warm" -> "up";
                            default -> "down";
                        },
                        e.at());
                if (e.text("what").equals("cold")) {
                    long warm = e.at() + 1000 * e.number("cold_us");
                    since.put(name + " warm", (warm - zero) / 1e9);
                }
            } else if (e.kind().equals("process") && e.text("what").equals("kill")) {
                inProcess
                        .getOrDefault(e.text("name"), List.of())
                        .forEach(name -> turn(rows, state, since, name, "down", e.at()));
            } else if (e.kind().equals("host")) {
                List<String> names = new ArrayList<>();
                for (JsonNode id : e.line().path("servers")) {
                    names.add(String.format("server %08x", id.asLong()));
                }
                inProcess.put(e.text("name"), names);
            }
        }
        state.forEach((name, was) -> piece(rows, since, name, was, seconds));
        rows.values().removeIf(List::isEmpty);
        return rows;
    }

    private void turn(
            Map<String, List<String[]>> rows,
            Map<String, String> state,
            Map<String, Double> since,
            String name,
            String next,
            long at) {
        double now = (at - zero) / 1e9;
        String was = state.put(name, next);
        rows.computeIfAbsent(name, n -> new ArrayList<>());
        if (was != null) {
            piece(rows, since, name, was, now);
        }
        since.put(name, now);
    }

    private void piece(
            Map<String, List<String[]>> rows,
            Map<String, Double> since,
            String name,
            String was,
            double until) {
        double from = Math.max(0, since.get(name));
        double to = Math.min(seconds, until);
        Double warm = since.get(name + " warm");
        if (to <= from) {
            return;
        }
        if (was.equals("cold") && warm != null && warm < to) {
            rows.get(name)
                    .add(
                            new String[] {
                                "cold", String.valueOf(from), String.valueOf(Math.max(from, warm))
                            });
            rows.get(name)
                    .add(
                            new String[] {
                                "up", String.valueOf(Math.max(from, warm)), String.valueOf(to)
                            });
        } else {
            rows.get(name).add(new String[] {was, String.valueOf(from), String.valueOf(to)});
        }
    }
}

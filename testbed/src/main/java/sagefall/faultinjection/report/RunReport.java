package sagefall.faultinjection.report;

import java.util.List;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/** Builds the HTML report of a run. The report loads no styles, scripts or images. */
final class RunReport {

    private static final int MAX_VIOLATIONS = 20;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Maximum time between the end of the load and the end of the time axis, in seconds. */
    private static final int MAX_SECONDS_AFTER_LOAD = 12;

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

    private final TimelinePage page;
    private final RunResult result;
    private final List<HistoryEntry> history;

    private RunReport(RunResult result, List<HistoryEntry> history) {
        this.result = result;
        this.history = history;
        double lastSecond =
                history.stream()
                        .filter(RunReport::extendsTimeAxis)
                        .mapToDouble(
                                entry -> (entry.atNanos() - result.beginAt()) / NANOS_PER_SECOND)
                        .max()
                        .orElse(1);
        double maxSeconds = result.statistics().seconds() + MAX_SECONDS_AFTER_LOAD;
        page = new TimelinePage(result, Math.max(1, Math.min(lastSecond, maxSeconds)));
    }

    private static boolean extendsTimeAxis(HistoryEntry entry) {
        return entry.kind() == EntryKind.ANSWER || entry.kind() == EntryKind.PROCESS;
    }

    /** Returns the text of the HTML report. */
    static String of(RunResult result, List<HistoryEntry> history) {
        RunReport report = new RunReport(result, history);
        report.addHead();
        report.addVerdict();
        report.addLegend();
        new RunPicture(report.page, history).draw();
        report.page.addRaw("</body></html>\n");
        return report.page.toString();
    }

    private void addHead() {
        String title =
                history.stream()
                        .filter(entry -> entry.kind() == EntryKind.RUN)
                        .findFirst()
                        .map(entry -> entry.text("scenario") + ", seed " + entry.number("seed"))
                        .orElse("a run");
        String escapedTitle = TimelinePage.escape(title);
        page.addRaw("<!doctype html><html lang='en'><head><meta charset='utf-8'><title>");
        page.addRaw(escapedTitle);
        page.addRaw("</title><style>" + STYLE + "</style></head><body>\n");
        page.add("<h1>%s</h1>", escapedTitle);
    }

    private void addVerdict() {
        result.statistics()
                .lines()
                .forEach(line -> page.add("<p>%s</p>", TimelinePage.escape(line)));
        String replayCommand = TimelinePage.escape(result.replayCommand());
        if (result.isVoid()) {
            page.add("<p class='bad'>Void: the machine stalled for too long.</p>");
        } else if (result.violations().isEmpty()) {
            page.add(
                    "<p>No invariant was violated. Replay with: <code>%s</code></p>",
                    replayCommand);
        } else {
            page.add(
                    "<p class='bad'>%d violations. Replay with: <code>%s</code></p><ul>",
                    result.violations().size(), replayCommand);
            result.violations().stream()
                    .limit(MAX_VIOLATIONS)
                    .forEach(
                            violation ->
                                    page.add(
                                            "<li class='bad'>%.3f s, %s: %s</li>",
                                            result.seconds(violation.at()),
                                            violation.invariant(),
                                            TimelinePage.escape(violation.description())));
            page.add("</ul>");
        }
    }

    private void addLegend() {
        StringBuilder items = new StringBuilder();
        for (MemberState.Kind kind : MemberState.Kind.values()) {
            items.append(legendItem(kind.label(), kind.colour()));
        }
        items.append(legendItem("served", "#009e73"))
                .append(legendItem("refused", "#e69f00"))
                .append(legendItem("failed or no response", "#b00"));
        page.add("<p class='key'>%s</p>", items);
    }

    private static String legendItem(String name, String colour) {
        return "<span><i style='background:" + colour + "'></i>" + name + "</span>";
    }
}

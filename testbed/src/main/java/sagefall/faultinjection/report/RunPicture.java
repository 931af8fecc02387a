package sagefall.faultinjection.report;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;
import sagefall.faultinjection.history.ResponseStatus;

/**
 * Draws the picture of a run as SVG with a horizontal time axis. The first row shows the responses.
 * Each further row shows the states of one sidecar or server. Sizes are in pixels.
 */
final class RunPicture {

    private static final int ROW_HEIGHT = 16;
    private static final int RESPONSE_CHART_HEIGHT = 60;
    private static final int TOP_MARGIN = 34;
    private static final int ROWS_MARGIN = 14;
    private static final int AXIS_HEIGHT = 18;
    private static final int TICK_SECONDS = 5;
    private static final int MAX_VIOLATIONS = 200;
    private static final double MIN_BAR_WIDTH = 0.6;
    private static final double BAR_SPACING = 0.4;
    private static final long BIN_NANOS = 500_000_000L;
    private static final int BINS_PER_SECOND = 2;

    /** CSS classes of the kinds of responses. {@link #responseKind} returns an index into them. */
    private static final String[] RESPONSE_KINDS = {"served", "refused", "lost"};

    private final TimelinePage page;
    private final List<HistoryEntry> history;
    private final Map<String, List<MemberState>> rows;
    private final int height;

    RunPicture(TimelinePage page, List<HistoryEntry> history) {
        this.page = page;
        this.history = history;
        rows = MemberTimelines.of(page.result(), page.seconds(), history);
        height =
                TOP_MARGIN
                        + RESPONSE_CHART_HEIGHT
                        + ROWS_MARGIN
                        + rows.size() * ROW_HEIGHT
                        + AXIS_HEIGHT
                        + 2;
    }

    /** Adds the picture to the HTML report. */
    void draw() {
        page.add(
                "<svg viewBox='0 0 %d %d' role='img' aria-label='members over time'>",
                TimelinePage.WIDTH, height);
        drawAxis();
        drawResponses();
        drawMembers();
        drawFaults();
        drawViolations();
        page.add("</svg>");
    }

    private void drawAxis() {
        for (int second = 0; second <= page.seconds(); second += TICK_SECONDS) {
            page.add(
                    "<line class='grid' x1='%.1f' x2='%.1f' y1='%d' y2='%d'/>",
                    page.x(second), page.x(second), TOP_MARGIN, height - AXIS_HEIGHT);
            page.add(
                    "<text class='tick' x='%.1f' y='%d' text-anchor='middle'>%d s</text>",
                    page.x(second), height - 6, second);
        }
    }

    /**
     * Draws the fractions of served, rejected and lost requests for each half second. A request
     * that was neither served nor rejected is shown as lost.
     */
    private void drawResponses() {
        int[][] bins = responseBins();
        for (int bin = 0; bin < bins.length; bin++) {
            double total = bins[bin][0] + bins[bin][1] + bins[bin][2];
            double y = TOP_MARGIN + RESPONSE_CHART_HEIGHT;
            for (int kind = 0; kind < RESPONSE_KINDS.length && total > 0; kind++) {
                double barHeight = RESPONSE_CHART_HEIGHT * bins[bin][kind] / total;
                y -= barHeight;
                if (barHeight > 0) {
                    drawBin(bin, kind, y, barHeight, bins[bin][kind]);
                }
            }
        }
        page.add(
                "<text class='row' x='%d' y='%d' text-anchor='end'>responses</text>",
                TimelinePage.LABEL_WIDTH - 6, TOP_MARGIN + RESPONSE_CHART_HEIGHT / 2);
    }

    private int[][] responseBins() {
        int[][] bins =
                new int[(int) Math.ceil(page.seconds() * BINS_PER_SECOND)][RESPONSE_KINDS.length];
        for (HistoryEntry entry : history) {
            int bin = (int) ((entry.atNanos() - page.result().beginAt()) / BIN_NANOS);
            if (entry.kind() == EntryKind.ANSWER && bin >= 0 && bin < bins.length) {
                bins[bin][responseKind(entry.number("status"))]++;
            }
        }
        return bins;
    }

    private static int responseKind(long status) {
        if (status == ResponseStatus.OK) {
            return 0;
        }
        return ResponseStatus.isRejected(status) ? 1 : 2;
    }

    private void drawBin(int bin, int kind, double y, double barHeight, int count) {
        double from = bin / (double) BINS_PER_SECOND;
        double to = (bin + 1) / (double) BINS_PER_SECOND;
        page.add(
                "<rect class='%s' x='%.1f' y='%.1f' width='%.1f'"
                        + " height='%.1f'><title>%.1f s: %d %s</title></rect>",
                RESPONSE_KINDS[kind],
                page.x(from),
                y,
                page.x(to) - page.x(from) - BAR_SPACING,
                barHeight,
                from,
                count,
                RESPONSE_KINDS[kind]);
    }

    private void drawMembers() {
        int y = TOP_MARGIN + RESPONSE_CHART_HEIGHT + ROWS_MARGIN;
        for (Map.Entry<String, List<MemberState>> row : rows.entrySet()) {
            page.add(
                    "<text class='row' x='%d' y='%d' text-anchor='end'>%s</text>",
                    TimelinePage.LABEL_WIDTH - 6, y + 11, row.getKey());
            for (MemberState state : row.getValue()) {
                page.add(
                        "<rect class='%s' x='%.1f' y='%d' width='%.1f' height='%d'><title>%s: %s,"
                                + " %.2f to %.2f s</title></rect>",
                        state.kind().cssClass(),
                        page.x(state.from()),
                        y + 2,
                        Math.max(MIN_BAR_WIDTH, page.x(state.to()) - page.x(state.from())),
                        ROW_HEIGHT - 4,
                        row.getKey(),
                        state.kind().label(),
                        state.from(),
                        state.to());
            }
            y += ROW_HEIGHT;
        }
    }

    private void drawFaults() {
        Map<String, HistoryEntry> activeFaults = new HashMap<>();
        int faultIndex = 0;
        for (HistoryEntry entry : history) {
            if (entry.kind() != EntryKind.FAULT) {
                continue;
            }
            String key = entry.text("what") + entry.number("place") + entry.line().path("servers");
            // The fault that replaces a server has no end, so it is not drawn.
            if (entry.flag("on") && !entry.text("what").equals("replace")) {
                activeFaults.put(key, entry);
            } else if (activeFaults.containsKey(key)) {
                drawFault(activeFaults.remove(key), entry, faultIndex++);
            }
        }
    }

    private void drawFault(HistoryEntry begin, HistoryEntry end, int faultIndex) {
        page.add(
                "<rect class='fault' x='%.1f' y='%d' width='%.1f' height='%d'/>",
                page.x(begin.atNanos()),
                TOP_MARGIN,
                Math.max(1, page.x(end.atNanos()) - page.x(begin.atNanos())),
                height - AXIS_HEIGHT - TOP_MARGIN);
        page.add(
                "<text class='name' x='%.1f' y='%d'>%s</text>",
                page.x(begin.atNanos()) + 2,
                10 + 10 * (faultIndex % 3),
                end.text("what").replace('_', ' '));
    }

    private void drawViolations() {
        page.result().violations().stream()
                .limit(MAX_VIOLATIONS)
                .forEach(
                        violation ->
                                page.add(
                                        "<line class='breach' x1='%.1f' x2='%.1f' y1='%d'"
                                                + " y2='%d'><title>%s</title></line>",
                                        page.x(violation.at()),
                                        page.x(violation.at()),
                                        TOP_MARGIN,
                                        height - AXIS_HEIGHT,
                                        TimelinePage.escape(violation.description())));
    }
}

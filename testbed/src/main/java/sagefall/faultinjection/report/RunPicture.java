package sagefall.faultinjection.report;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.faultinjection.history.AnswerStatus;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/** The picture of a run: answers and members as rows, time across. */
final class RunPicture {

    private static final int ROW = 16;
    private static final int BAND = 60;
    private static final int TOP = 34;
    private static final int GAP = 14;
    private static final int AXIS = 18;
    private static final int TICK_SECONDS = 5;
    private static final int MAX_VIOLATIONS = 200;
    private static final double MIN_WIDTH = 0.6;
    private static final double SPACE = 0.4;
    private static final long BIN_NANOS = 500_000_000L;
    private static final int BINS_PER_SECOND = 2;
    private static final String[] ANSWERS = {"served", "refused", "lost"};

    private final HtmlPage page;
    private final List<HistoryEntry> history;
    private final Map<String, List<MemberState>> rows;
    private final int height;

    RunPicture(HtmlPage page, List<HistoryEntry> history) {
        this.page = page;
        this.history = history;
        rows = MemberTimelines.of(page.result(), page.seconds(), history);
        height = TOP + BAND + GAP + rows.size() * ROW + AXIS + 2;
    }

    /** Adds the picture to the page. */
    void draw() {
        page.add(
                "<svg viewBox='0 0 %d %d' role='img' aria-label='members over time'>",
                HtmlPage.WIDTH, height);
        drawAxis();
        drawAnswers();
        drawMembers();
        drawFaults();
        drawViolations();
        page.add("</svg>");
    }

    private void drawAxis() {
        for (int second = 0; second <= page.seconds(); second += TICK_SECONDS) {
            page.add(
                    "<line class='grid' x1='%.1f' x2='%.1f' y1='%d' y2='%d'/>",
                    page.x(second), page.x(second), TOP, height - AXIS);
            page.add(
                    "<text class='tick' x='%.1f' y='%d' text-anchor='middle'>%d s</text>",
                    page.x(second), height - 6, second);
        }
    }

    /** Answers of each half second, as parts of all. */
    private void drawAnswers() {
        int[][] bins = answerBins();
        for (int bin = 0; bin < bins.length; bin++) {
            double all = bins[bin][0] + bins[bin][1] + bins[bin][2];
            double y = TOP + BAND;
            for (int kind = 0; kind < ANSWERS.length && all > 0; kind++) {
                double high = BAND * bins[bin][kind] / all;
                y -= high;
                if (high > 0) {
                    drawBin(bin, kind, y, high, bins[bin][kind]);
                }
            }
        }
        page.add(
                "<text class='row' x='%d' y='%d' text-anchor='end'>answers</text>",
                HtmlPage.LEFT - 6, TOP + BAND / 2);
    }

    private int[][] answerBins() {
        int[][] bins = new int[(int) Math.ceil(page.seconds() * BINS_PER_SECOND)][ANSWERS.length];
        for (HistoryEntry entry : history) {
            int bin = (int) ((entry.at() - page.result().beginAt()) / BIN_NANOS);
            if (entry.kind() == EntryKind.ANSWER && bin >= 0 && bin < bins.length) {
                bins[bin][answerKind(entry.number("status"))]++;
            }
        }
        return bins;
    }

    private static int answerKind(long status) {
        if (status == AnswerStatus.OK) {
            return 0;
        }
        return AnswerStatus.isRejected(status) ? 1 : 2;
    }

    private void drawBin(int bin, int kind, double y, double high, int count) {
        double from = bin / (double) BINS_PER_SECOND;
        double to = (bin + 1) / (double) BINS_PER_SECOND;
        page.add(
                "<rect class='%s' x='%.1f' y='%.1f' width='%.1f'"
                        + " height='%.1f'><title>%.1f s: %d %s</title></rect>",
                ANSWERS[kind],
                page.x(from),
                y,
                page.x(to) - page.x(from) - SPACE,
                high,
                from,
                count,
                ANSWERS[kind]);
    }

    private void drawMembers() {
        int y = TOP + BAND + GAP;
        for (Map.Entry<String, List<MemberState>> row : rows.entrySet()) {
            page.add(
                    "<text class='row' x='%d' y='%d' text-anchor='end'>%s</text>",
                    HtmlPage.LEFT - 6, y + 11, row.getKey());
            for (MemberState state : row.getValue()) {
                page.add(
                        "<rect class='%s' x='%.1f' y='%d' width='%.1f' height='%d'><title>%s: %s,"
                                + " %.2f to %.2f s</title></rect>",
                        state.kind().style(),
                        page.x(state.from()),
                        y + 2,
                        Math.max(MIN_WIDTH, page.x(state.to()) - page.x(state.from())),
                        ROW - 4,
                        row.getKey(),
                        state.kind().label(),
                        state.from(),
                        state.to());
            }
            y += ROW;
        }
    }

    private void drawFaults() {
        Map<String, HistoryEntry> active = new HashMap<>();
        int line = 0;
        for (HistoryEntry entry : history) {
            if (entry.kind() != EntryKind.FAULT) {
                continue;
            }
            String key = entry.text("what") + entry.number("place") + entry.line().path("servers");
            if (entry.flag("on") && !entry.text("what").equals("replace")) {
                active.put(key, entry);
            } else if (active.containsKey(key)) {
                drawFault(active.remove(key), entry, line++);
            }
        }
    }

    private void drawFault(HistoryEntry begin, HistoryEntry end, int line) {
        page.add(
                "<rect class='fault' x='%.1f' y='%d' width='%.1f' height='%d'/>",
                page.x(begin.at()),
                TOP,
                Math.max(1, page.x(end.at()) - page.x(begin.at())),
                height - AXIS - TOP);
        page.add(
                "<text class='name' x='%.1f' y='%d'>%s</text>",
                page.x(begin.at()) + 2, 10 + 10 * (line % 3), end.text("what").replace('_', ' '));
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
                                        TOP,
                                        height - AXIS,
                                        HtmlPage.escape(violation.description())));
    }
}

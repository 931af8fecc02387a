package sagefall.report;

import java.util.Locale;

/** Builds a self-contained HTML page: it loads no script, style or image from elsewhere. */
final class HtmlPage {

    private static final String STYLE =
            """
            body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:980px;padding:0 \
            1em;color:#222}
            h1{font-size:1.5em}h2{font-size:1.15em;margin-top:2em;border-top:1px solid #ddd;\
            padding-top:1em}
            table{border-collapse:collapse;margin:.6em 0;font-variant-numeric:tabular-nums}
            td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #eee}
            td:first-child,th:first-child,td.t{text-align:left}th{font-weight:600;color:#555}
            figure{margin:1em 0}svg{width:100%;height:auto}.title{font:600 13px system-ui;fill:#222}
            .grid{stroke:#e4e4e4}.tick{font:10px system-ui;fill:#666}.name{font:9px system-ui;\
            fill:#944}
            .fault{fill:#d55e00;fill-opacity:.07}.level{stroke:#999;stroke-dasharray:4 3}
            figcaption{font-size:12px;color:#555}figcaption span{margin-right:1.2em}
            figcaption i{display:inline-block;width:.8em;height:.8em;margin-right:.35em}
            .heat{display:flex}.heat img{flex:1;min-width:0;image-rendering:pixelated;border:1px \
            solid #ddd}
            .rows{display:flex;flex-direction:column;font-size:11px;
            padding-right:6px;width:46px;text-align:right}
            .rows span{display:flex;align-items:center;justify-content:flex-end}
            .bad{color:#b00;font-weight:600}
            """;

    private final StringBuilder out = new StringBuilder();

    /** Starts a page. The title is plain text and is escaped. */
    HtmlPage(String title) {
        add(
                "<!doctype html><html lang='en'><head><meta charset='utf-8'><title>"
                        + escape(title)
                        + "</title><style>"
                        + STYLE
                        + "</style></head><body><h1>"
                        + escape(title)
                        + "</h1>");
    }

    /** Adds a line of HTML without escaping the line. */
    void add(String html) {
        out.append(html).append('\n');
    }

    /** Adds a table row of header cells. The content of the cells is HTML. */
    void addHeadings(String... cells) {
        addRow("th", cells);
    }

    /** Adds a table row of cells. The content of the cells is HTML. */
    void addCells(String... cells) {
        addRow("td", cells);
    }

    private void addRow(String tag, String... cells) {
        StringBuilder row = new StringBuilder("<tr>");
        for (String cell : cells) {
            row.append('<').append(tag).append('>').append(cell);
            row.append("</").append(tag).append('>');
        }
        add(row.append("</tr>").toString());
    }

    /** Returns the complete page. Nothing may be added afterwards. */
    String finish() {
        return out + "</body></html>\n";
    }

    /** Escapes plain text for use in HTML. */
    static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace("'", "&#39;");
    }

    /** Formats a number with three decimals. */
    static String decimals(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}

package sagefall.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.LoadReport;

/**
 * Reads an endpoint's report on its load, from an object or from the header of an answer; both have
 * the same keys.
 */
public final class LoadReportReader {

    /** The one form of the header that is read; other forms begin with another word. */
    private static final String TEXT_FORM = "TEXT ";

    /** A figure above this is no measurement but a fault of the sender. */
    private static final double MAX_PLAUSIBLE = 1e6;

    private LoadReportReader() {}

    /** The report in an object; figures that it lacks are {@link Double#NaN}. */
    public static LoadReport fromObject(Map<?, ?> object) {
        return new LoadReport(
                figure(object, "active"),
                figure(object, "waiting"),
                figure(object, "cpu"),
                figure(object, "avg_ms"),
                figure(object, "rps"),
                figure(object, "err_rps"));
    }

    private static double figure(Map<?, ?> object, String key) {
        return Json.doubleValue(object, key, Double.NaN);
    }

    /** The first of the headers that can be read; a broken one may come before it. */
    public static LoadReport parse(List<String> headers) {
        for (String header : headers) {
            LoadReport report = parse(header);
            if (report != null) {
                return report;
            }
        }
        return null;
    }

    /**
     * Reads {@code TEXT cpu=0.61, rps=140}; null where nothing can be read. A server may be of
     * another version or broken, so fields that are unknown, not numbers, negative or implausible
     * are ignored: one of them in a mean would stay there.
     */
    public static LoadReport parse(String header) {
        if (header == null || !header.startsWith(TEXT_FORM)) {
            return null;
        }
        Map<String, Double> figures = new HashMap<>();
        for (String field : header.substring(TEXT_FORM.length()).split(",", 0)) {
            int equals = field.indexOf('=');
            double value = equals < 0 ? Double.NaN : number(field.substring(equals + 1).trim());
            if (value >= 0 && value <= MAX_PLAUSIBLE) {
                figures.put(field.substring(0, equals).trim(), value);
            }
        }
        return figures.isEmpty() ? null : fromObject(figures);
    }

    private static double number(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}

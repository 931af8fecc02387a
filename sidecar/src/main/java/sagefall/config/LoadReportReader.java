package sagefall.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.LoadReport;

/**
 * Reads the load report of an endpoint from a JSON object or from a response header. Both forms use
 * identical keys.
 */
public final class LoadReportReader {

    /** Prefix of the only supported header format. Headers in other formats have other prefixes. */
    private static final String TEXT_FORM = "TEXT ";

    /**
     * Maximum plausible value of a field in a header. A higher value is an error of the endpoint
     * and is ignored.
     */
    private static final double MAX_PLAUSIBLE = 1e6;

    private LoadReportReader() {}

    /** Returns the report in an object; missing values are {@link Double#NaN}. */
    public static LoadReport fromObject(Map<?, ?> object) {
        return new LoadReport(
                value(object, "active"),
                value(object, "waiting"),
                value(object, "cpu"),
                value(object, "avg_ms"),
                value(object, "rps"),
                value(object, "err_rps"));
    }

    private static double value(Map<?, ?> object, String key) {
        return Json.doubleValue(object, key, Double.NaN);
    }

    /**
     * Returns the report of the first header that can be parsed. Malformed headers are skipped.
     * Returns null if no header can be parsed.
     */
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
     * Parses a header such as {@code TEXT cpu=0.61, rps=140}. Returns null if no field can be
     * parsed. An endpoint may be of another version or faulty, so unknown fields are ignored.
     * Values that are not numbers, negative values and implausibly high values are ignored as well.
     * A value that is far too high would distort the mean of all endpoints for a long time. An
     * infinite value would distort the mean permanently.
     */
    public static LoadReport parse(String header) {
        if (header == null || !header.startsWith(TEXT_FORM)) {
            return null;
        }
        Map<String, Double> values = new HashMap<>();
        for (String field : header.substring(TEXT_FORM.length()).split(",", 0)) {
            int equals = field.indexOf('=');
            double number =
                    equals < 0 ? Double.NaN : parseNumber(field.substring(equals + 1).trim());
            if (number >= 0 && number <= MAX_PLAUSIBLE) {
                values.put(field.substring(0, equals).trim(), number);
            }
        }
        return values.isEmpty() ? null : fromObject(values);
    }

    private static double parseNumber(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}

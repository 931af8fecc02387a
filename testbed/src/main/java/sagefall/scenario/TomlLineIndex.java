package sagefall.scenario;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Index of the lines of the keys in a TOML text. The parser does not keep the locations of keys,
 * but error messages need a line number: a message without a line number is of little use for a
 * file of a hundred lines. A key within an inline table has the line of the table.
 */
final class TomlLineIndex {

    /** Matches the header of a table, or of a table in an array; group 2 is the name. */
    private static final Pattern HEADER =
            Pattern.compile("\\s*(\\[\\[?)\\s*([^\\]]+?)\\s*\\]\\]?\\s*(#.*)?");

    /** Matches a line with a key and a value; group 1 is the key. */
    private static final Pattern ENTRY = Pattern.compile("\\s*([A-Za-z0-9_.-]+)\\s*=.*");

    private final Map<String, Integer> lineNumbers = new HashMap<>();
    private final Set<String> overridden = new HashSet<>();

    TomlLineIndex(String text) {
        Map<String, Integer> tableCounts = new HashMap<>();
        String table = "";
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            Matcher header = HEADER.matcher(line);
            Matcher entry = ENTRY.matcher(line);
            if (header.matches()) {
                boolean inArray = header.group(1).equals("[[");
                String name = header.group(2);
                table = inArray ? nextArrayElement(name, tableCounts) : name;
                lineNumbers.put(table, number);
            } else if (entry.matches()) {
                String key = entry.group(1);
                lineNumbers.put(table.isEmpty() ? key : table + "." + key, number);
            }
        }
    }

    /** Counts a further table of an array of tables and returns the table's path. */
    private static String nextArrayElement(String name, Map<String, Integer> tableCounts) {
        int index = tableCounts.merge(name, 1, Integer::sum) - 1;
        return name + "[" + index + "]";
    }

    /** Records that the command line has replaced the value at a path. */
    void markOverridden(String path) {
        overridden.add(path);
    }

    /**
     * Returns the location of a path such as {@code fault[2].zone}: file and line, or {@code --set}
     * if the command line has replaced the value.
     */
    String location(String file, String path) {
        return overridden.contains(path) ? "--set" : file + ":" + lineOf(path);
    }

    /**
     * Returns the line of a path. If that line is unknown, returns the line of the innermost
     * enclosing table that has a known line. If no enclosing table has a known line, returns 1.
     */
    private int lineOf(String path) {
        String prefix = path;
        while (!prefix.isEmpty()) {
            Integer number = lineNumbers.get(prefix);
            if (number != null) {
                return number;
            }
            int parentEnd = Math.max(prefix.lastIndexOf('.'), prefix.lastIndexOf('['));
            prefix = parentEnd < 0 ? "" : prefix.substring(0, parentEnd);
        }
        return 1;
    }
}

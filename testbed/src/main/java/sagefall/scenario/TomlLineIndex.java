package sagefall.scenario;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * On which line of a TOML text each key stands. The parser keeps no locations, and a message
 * without one is of little use in a file of a hundred lines. A key within an inline table has the
 * line of its table.
 */
final class TomlLineIndex {

    private static final Pattern HEADER =
            Pattern.compile("\\s*(\\[\\[?)\\s*([^\\]]+?)\\s*\\]\\]?\\s*(#.*)?");
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
                table = inArray ? nextInArray(name, tableCounts) : name;
                lineNumbers.put(table, number);
            } else if (entry.matches()) {
                String key = entry.group(1);
                lineNumbers.put(table.isEmpty() ? key : table + "." + key, number);
            }
        }
    }

    private static String nextInArray(String name, Map<String, Integer> tableCounts) {
        int index = tableCounts.merge(name, 1, Integer::sum) - 1;
        return name + "[" + index + "]";
    }

    /** The command line has put a value in the place of the file's. */
    void override(String path) {
        overridden.add(path);
    }

    /**
     * Where a path such as {@code fault[2].zone} stands: the file and a line of it, or the command
     * line.
     */
    String location(String file, String path) {
        return overridden.contains(path) ? "--set" : file + ":" + lineOf(path);
    }

    /** The line of a path, or of the nearest table that holds it. */
    private int lineOf(String path) {
        String prefix = path;
        while (!prefix.isEmpty()) {
            Integer number = lineNumbers.get(prefix);
            if (number != null) {
                return number;
            }
            int cut = Math.max(prefix.lastIndexOf('.'), prefix.lastIndexOf('['));
            prefix = cut < 0 ? "" : prefix.substring(0, cut);
        }
        return 1;
    }
}

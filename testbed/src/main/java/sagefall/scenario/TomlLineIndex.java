package sagefall.scenario;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * On which line of a TOML text each name stands. The parser keeps no places, and a message without
 * one is of little use in a file of a hundred lines. A name within an inline table is told by its
 * table's line.
 */
final class TomlLineIndex {

    private static final Pattern HEADER =
            Pattern.compile("\\s*(\\[\\[?)\\s*([^\\]]+?)\\s*\\]\\]?\\s*(#.*)?");
    private static final Pattern ENTRY = Pattern.compile("\\s*([A-Za-z0-9_.-]+)\\s*=.*");

    private final Map<String, Integer> numbers = new HashMap<>();
    private final Set<String> overridden = new HashSet<>();

    TomlLineIndex(String text) {
        Map<String, Integer> counts = new HashMap<>();
        String table = "";
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            Matcher header = HEADER.matcher(line);
            Matcher entry = ENTRY.matcher(line);
            if (header.matches()) {
                String name = header.group(2);
                table =
                        header.group(1).equals("[[")
                                ? name + "[" + (counts.merge(name, 1, Integer::sum) - 1) + "]"
                                : name;
                numbers.put(table, number);
            } else if (entry.matches()) {
                numbers.put(
                        table.isEmpty() ? entry.group(1) : table + "." + entry.group(1), number);
            }
        }
    }

    /** A figure that the command line has put in the place of the file's. */
    void override(String path) {
        overridden.add(path);
    }

    /**
     * Where a path such as {@code fault[2].zone} stands: the file and a line of it, or the command
     * line.
     */
    String location(String file, String path) {
        return overridden.contains(path) ? "--set" : file + ":" + of(path);
    }

    /** The line of a path, or of the nearest table round it. */
    private int of(String path) {
        for (String at = path; !at.isEmpty(); ) {
            Integer number = numbers.get(at);
            if (number != null) {
                return number;
            }
            int cut = Math.max(at.lastIndexOf('.'), at.lastIndexOf('['));
            at = cut < 0 ? "" : at.substring(0, cut);
        }
        return 1;
    }
}

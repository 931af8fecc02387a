package sagefall.faultinjection;

import java.util.List;
import sagefall.faultinjection.history.HistoryEntry;
import sagefall.faultinjection.history.HistoryReader;
import sagefall.faultinjection.history.JsonLines;

/**
 * Parses histories from a text format for tests. The format is shorter than the JSON of history
 * files.
 */
public final class HistoryText {

    private HistoryText() {}

    /**
     * Parses entries. Line breaks or {@code "; "} separate the entries. An entry consists of the
     * time in milliseconds, the entry kind, and pairs of a field name and a value. A target is
     * written as {@code endpoint:id:state} or {@code endpoint:id:state:boot}. An underscore in a
     * body stands for a blank.
     */
    public static List<HistoryEntry> parse(String text) throws Exception {
        StringBuilder lines = new StringBuilder();
        for (String line : text.replace("; ", "\n").split("\n", 0)) {
            String[] words = line.trim().split(" +", 0);
            var node =
                    JsonLines.MAPPER
                            .createObjectNode()
                            .put("t", (long) (1e6 * Double.parseDouble(words[0])))
                            .put("k", words[1]);
            for (int i = 2; i + 1 < words.length; i += 2) {
                String value = words[i + 1].replace('_', ' ');
                if (words[i].equals("targets")) {
                    var targets = node.putArray("targets");
                    for (String target : words[i + 1].split(",", 0)) {
                        String[] t = target.split(":", 0);
                        targets.addObject()
                                .put("endpoint", t[0])
                                .put("id", Long.parseLong(t[1]))
                                .put("state", t[2])
                                .put("boot_ms", t.length > 3 ? Long.parseLong(t[3]) : 0);
                    }
                } else if (words[i + 1].matches("-?[0-9.]+")) {
                    node.put(words[i], Double.parseDouble(words[i + 1]));
                } else if (words[i + 1].matches("true|false")) {
                    node.put(words[i], Boolean.parseBoolean(words[i + 1]));
                } else {
                    node.put(words[i], words[i].equals("body") ? value : words[i + 1]);
                }
            }
            lines.append(node).append('\n');
        }
        return HistoryReader.parse("test", lines.toString());
    }
}

package org.apricotdeal.kernel.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Maps sections and keys to their line numbers; the file itself is parsed by Commons Configuration. */
final class LineIndex {
    private final Map<String, Integer> lines = new HashMap<>();

    private LineIndex() {}

    static LineIndex of(String text) {
        LineIndex index = new LineIndex();
        String section = "";
        List<String> all = text.lines().toList();
        for (int i = 0; i < all.size(); i++) {
            String line = all.get(i).trim();
            if (line.startsWith("[") && line.indexOf(']') > 0) {
                section = line.substring(1, line.indexOf(']')).trim();
                index.lines.putIfAbsent(section + "/", i + 1);
            } else if (line.indexOf('=') > 0) {
                String key = line.substring(0, line.indexOf('=')).trim();
                index.lines.putIfAbsent(section + "/" + key, i + 1);
            }
        }
        return index;
    }

    int lineOf(String section, String key) {
        return lines.getOrDefault(section + "/" + key, 0);
    }
}

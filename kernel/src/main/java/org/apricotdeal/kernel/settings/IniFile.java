package org.apricotdeal.kernel.settings;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.message.SourceLocation;

/** A parsed INI file with the line of every section and key, so that findings can give their location. */
public final class IniFile {
    private final String name;
    private final List<IniSection> sections;

    private IniFile(String name, List<IniSection> sections) {
        this.name = name;
        this.sections = List.copyOf(sections);
    }

    /**
     * Reads a file.
     *
     * @param path the file
     * @param findings collects errors that concern the whole file, not a value
     * @return the parsed file; without sections if it cannot be read
     */
    public static IniFile read(Path path, Findings findings) {
        String fileName = String.valueOf(path.getFileName());
        try {
            return parse(fileName, Files.readString(path), findings);
        } catch (IOException e) {
            findings.add(Message.FILE_UNREADABLE, new SourceLocation(fileName, 0, 0, ""), e.getMessage());
            return new IniFile(fileName, List.of());
        }
    }

    /**
     * Parses INI text.
     *
     * @param name file name to use in findings
     * @param text the text
     * @param findings collects errors that concern the whole text, not a value
     * @return the parsed file; without sections if the text cannot be parsed
     */
    public static IniFile parse(String name, String text, Findings findings) {
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | IOException e) {
            findings.add(Message.FILE_UNREADABLE, new SourceLocation(name, 0, 0, ""), e.getMessage());
            return new IniFile(name, List.of());
        }
        LineIndex lines = LineIndex.of(text);
        List<IniSection> sections = new ArrayList<>();
        for (String sectionName : ini.getSections()) {
            if (sectionName == null) {
                reportOutsideSections(name, ini.getSection(null), lines, findings);
            } else {
                sections.add(section(name, sectionName, ini.getSection(sectionName), lines, findings));
            }
        }
        return new IniFile(name, sections);
    }

    private static void reportOutsideSections(
            String file, SubnodeConfiguration properties, LineIndex lines, Findings findings) {
        for (Iterator<String> keys = properties.getKeys(); keys.hasNext(); ) {
            String key = keys.next().replace("..", ".");
            findings.add(
                    Message.SETTING_UNKNOWN,
                    new SourceLocation(file, lines.lineOf("", key), 0, key),
                    "none outside sections");
        }
    }

    private static IniSection section(
            String file, String sectionName, SubnodeConfiguration properties, LineIndex lines, Findings findings) {
        Map<String, IniValue> values = new LinkedHashMap<>();
        for (Iterator<String> keys = properties.getKeys(); keys.hasNext(); ) {
            String rawKey = keys.next();
            String key = rawKey.replace("..", ".");
            SourceLocation location =
                    new SourceLocation(file, lines.lineOf(sectionName, key), 0, sectionName + "/" + key);
            List<Object> entries = properties.getList(rawKey);
            if (entries.size() > 1) {
                findings.add(Message.SETTING_REPEATED, location);
            }
            values.put(key, new IniValue(String.valueOf(entries.getFirst()).trim(), location));
        }
        return new IniSection(
                sectionName, new SourceLocation(file, lines.lineOf(sectionName, ""), 0, sectionName), values);
    }

    /**
     * Returns the file's name.
     *
     * @return the name used in findings
     */
    public String name() {
        return name;
    }

    /**
     * Returns all sections.
     *
     * @return the sections in the order of the file
     */
    public List<IniSection> sections() {
        return sections;
    }

    /**
     * Returns a section.
     *
     * @param sectionName its name
     * @return the section; empty and with line 0 if the file has no section of that name
     */
    public IniSection section(String sectionName) {
        for (IniSection section : sections) {
            if (section.name().equals(sectionName)) {
                return section;
            }
        }
        return new IniSection(sectionName, new SourceLocation(name, 0, 0, sectionName), Map.of());
    }
}

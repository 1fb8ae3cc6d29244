package org.apricotdeal.catalogue.ini;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;
import org.apricotdeal.catalogue.check.EntryFields;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.Entry;

/** Writes a catalogue as an INI file that {@link IniCatalogue} reads back, with the version that it was exported from. */
public final class IniCatalogueWriter {
    private IniCatalogueWriter() {}

    /**
     * Writes a catalogue.
     *
     * @param catalogue the catalogue; credentials are written as they are
     * @return the INI text
     */
    public static String write(Catalogue catalogue) {
        ImmutableNode.Builder root = new ImmutableNode.Builder();
        root.addChild(section(
                IniCatalogue.BASE_SECTION, Map.of(IniCatalogue.BASE_VERSION_KEY, String.valueOf(catalogue.version()))));
        for (Entry entry : catalogue.entries().values()) {
            root.addChild(section(entry.key(), EntryFields.of(entry)));
        }
        INIConfiguration ini = new INIConfiguration();
        ini.getNodeModel().setRootNode(root.create());
        StringWriter text = new StringWriter();
        try {
            ini.write(text);
        } catch (ConfigurationException e) {
            throw new IllegalStateException(e);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    /** Builds a section as a node, since the library's path expressions would split a name at its dots. */
    private static ImmutableNode section(String name, Map<String, String> fields) {
        ImmutableNode.Builder section = new ImmutableNode.Builder().name(name);
        fields.forEach((field, value) -> {
            if (!value.isEmpty()) {
                section.addChild(
                        new ImmutableNode.Builder().name(field).value(value).create());
            }
        });
        return section.create();
    }
}

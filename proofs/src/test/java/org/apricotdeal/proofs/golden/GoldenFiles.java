package org.apricotdeal.proofs.golden;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Compares texts with golden files. {@code -Dgolden.write=true} writes the files instead, so that the change can be read
 * with {@code git diff} before it is committed.
 */
public final class GoldenFiles {
    private static final boolean WRITE = Boolean.getBoolean("golden.write");

    private GoldenFiles() {}

    /**
     * Returns the folder of the test resources in the source tree.
     *
     * @param folder folder below it
     * @return its path
     */
    public static Path resources(String folder) {
        return Path.of("src/test/resources").toAbsolutePath().resolve(folder);
    }

    /**
     * Lists descriptor files.
     *
     * @param folder folder below the test resources
     * @param suffix suffix of their names
     * @return the files sorted by name, each as the one argument of a test
     */
    public static Object[][] descriptors(String folder, String suffix) {
        try (Stream<Path> files = Files.list(resources(folder))) {
            List<Path> found = files.filter(file -> file.toString().endsWith(suffix))
                    .sorted()
                    .toList();
            assertTrue(!found.isEmpty(), "no descriptor " + suffix + " in " + folder);
            return found.stream().map(file -> new Object[] {file}).toArray(Object[][]::new);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Compares a text with a golden file, or writes the file where asked to.
     *
     * @param golden the golden file
     * @param actual the text
     */
    public static void check(Path golden, String actual) {
        try {
            if (WRITE) {
                Files.createDirectories(golden.getParent());
                Files.writeString(golden, actual);
                return;
            }
            assertTrue(Files.exists(golden), golden + " is missing; write it with -Dgolden.write=true");
            assertEquals(actual, Files.readString(golden), golden.toString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Replaces the suffix of a file's name.
     *
     * @param file the file
     * @param from its suffix
     * @param to the new suffix
     * @return the file beside it
     */
    public static Path sibling(Path file, String from, String to) {
        String name = String.valueOf(file.getFileName());
        return file.resolveSibling(name.substring(0, name.length() - from.length()) + to);
    }
}

package org.apricotdeal.engine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * Names of a prompt's prefixes as engines publish them in their cache events: one for each whole block of
 * {@value #BLOCK_CHARS} characters from the start, each covering all characters up to its end.
 */
public final class PromptPrefixes {
    /** Characters of one block. */
    public static final int BLOCK_CHARS = 128;

    private static final int NAME_BYTES = 8;

    private PromptPrefixes() {}

    /**
     * Names the prefixes of a prompt.
     *
     * @param prompt the prompt
     * @param maxBlocks most blocks to name
     * @return names from the shortest prefix to the longest; none where the prompt is shorter than one block
     */
    public static List<String> of(String prompt, int maxBlocks) {
        MessageDigest digest = sha256();
        List<String> names = new ArrayList<>();
        int blocks = Math.min(maxBlocks, prompt.length() / BLOCK_CHARS);
        for (int i = 0; i < blocks; i++) {
            String block = prompt.substring(i * BLOCK_CHARS, (i + 1) * BLOCK_CHARS);
            byte[] chained = digest.digest(block.getBytes(StandardCharsets.UTF_8));
            names.add(HexFormat.of().formatHex(chained, 0, NAME_BYTES));
            digest.update(chained);
        }
        return names;
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}

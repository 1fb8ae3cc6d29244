package org.apricotdeal.engine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * Hashes of a prompt's prefixes as engines publish them in their cache events: one hash for each complete block of
 * {@value #BLOCK_CHARS} characters from the start. Hashes are chained, so each covers all characters up to its block's end.
 */
public final class PromptPrefixHashes {
    /** Size of a block in characters. */
    public static final int BLOCK_CHARS = 128;

    private static final int HASH_BYTES = 8;

    private PromptPrefixHashes() {}

    /**
     * Computes the prefix hashes of a prompt.
     *
     * @param prompt the prompt
     * @param maxBlocks maximum number of blocks to hash
     * @return hexadecimal hashes from the shortest prefix to the longest; empty if the prompt is shorter than one block
     */
    public static List<String> of(String prompt, int maxBlocks) {
        MessageDigest digest = sha256();
        List<String> hashes = new ArrayList<>();
        int blocks = Math.min(maxBlocks, prompt.length() / BLOCK_CHARS);
        for (int i = 0; i < blocks; i++) {
            String block = prompt.substring(i * BLOCK_CHARS, (i + 1) * BLOCK_CHARS);
            byte[] chainedHash = digest.digest(block.getBytes(StandardCharsets.UTF_8));
            hashes.add(HexFormat.of().formatHex(chainedHash, 0, HASH_BYTES));
            digest.update(chainedHash);
        }
        return hashes;
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}

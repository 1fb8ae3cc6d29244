package org.apricotdeal.policy.routing;

import com.dynatrace.hash4j.hashing.Hashing;

/** Hashes of prompt prefixes and of target ids, which are equal on all nodes and in all runs. */
public final class PrefixHash {
    private static final long MIX_FIRST = 0xbf58476d1ce4e5b9L;
    private static final long MIX_SECOND = 0x94d049bb133111ebL;

    private PrefixHash() {}

    /**
     * Hashes a text.
     *
     * @param text a prompt's prefix or a name
     * @return 64-bit hash
     */
    public static long of(String text) {
        return Hashing.komihash5_0().hashCharsToLong(text);
    }

    /**
     * Mixes the bits of a value with the finaliser of SplitMix64, so that a sum of hashes can be used as a hash.
     *
     * @param value value to mix, such as a sum of hashes
     * @return the mixed value
     */
    public static long mix(long value) {
        long mixed = value;
        mixed = (mixed ^ (mixed >>> 30)) * MIX_FIRST;
        mixed = (mixed ^ (mixed >>> 27)) * MIX_SECOND;
        return mixed ^ (mixed >>> 31);
    }
}

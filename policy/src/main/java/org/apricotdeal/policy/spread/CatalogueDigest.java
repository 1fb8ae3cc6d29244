package org.apricotdeal.policy.spread;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.Hashing;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.Entry;

/** Computes a digest of a catalogue's version, change id and entries. */
public final class CatalogueDigest {
    private CatalogueDigest() {}

    /**
     * Computes the digest.
     *
     * @param catalogue catalogue to digest
     * @return 32 hexadecimal digits, equal for equal catalogues
     */
    public static String of(Catalogue catalogue) {
        HashStream128 stream = Hashing.murmur3_128().hashStream();
        stream.putLong(catalogue.version()).putString(catalogue.changeId());
        for (Entry entry : catalogue.entries().values()) {
            stream.putString(entry.key()).putString(entry.toString());
        }
        return stream.get().toString();
    }
}

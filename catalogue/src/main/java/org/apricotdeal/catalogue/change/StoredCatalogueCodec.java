package org.apricotdeal.catalogue.change;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotdeal.catalogue.codec.CatalogueCodec;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.kernel.result.Result;

/**
 * The stored value as JSON: the catalogue's own fields, and {@code recentChanges} beside them. A node that only wants the
 * catalogue reads the same bytes with {@link CatalogueCodec}.
 */
public final class StoredCatalogueCodec {
    private static final String RECENT_CHANGES = "recentChanges";
    private static final ObjectMapper MAPPER = CatalogueCodec.mapper();

    private StoredCatalogueCodec() {}

    /**
     * Writes a value.
     *
     * @param stored the value
     * @return JSON in UTF-8
     */
    public static byte[] encode(StoredCatalogue stored) {
        ObjectNode json = MAPPER.valueToTree(stored.catalogue());
        json.set(RECENT_CHANGES, MAPPER.valueToTree(stored.recentChanges()));
        try {
            return MAPPER.writeValueAsBytes(json);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads a value.
     *
     * @param json JSON in UTF-8
     * @return the value, or why the bytes are none
     */
    public static Result<StoredCatalogue, String> decode(byte[] json) {
        return switch (CatalogueCodec.decode(json)) {
            case Result.Err<Catalogue, String>(String error) -> Result.err(error);
            case Result.Ok<Catalogue, String>(Catalogue catalogue) -> withChanges(catalogue, json);
        };
    }

    private static Result<StoredCatalogue, String> withChanges(Catalogue catalogue, byte[] json) {
        try {
            JsonNode changes = MAPPER.readTree(json).path(RECENT_CHANGES);
            List<AcceptedChange> read =
                    changes.isArray() ? MAPPER.convertValue(changes, new TypeReference<>() {}) : List.of();
            return hasNoGaps(catalogue, read)
                    ? Result.ok(new StoredCatalogue(catalogue, read))
                    : Result.err(RECENT_CHANGES + " do not lead to version " + catalogue.version() + " without gaps");
        } catch (IOException | IllegalArgumentException e) {
            return Result.err(String.valueOf(e.getMessage()));
        }
    }

    private static boolean hasNoGaps(Catalogue catalogue, List<AcceptedChange> changes) {
        long expected = catalogue.version() - changes.size() + 1;
        List<AcceptedChange> sorted = changes.stream()
                .sorted(Comparator.comparingLong(AcceptedChange::version))
                .toList();
        for (AcceptedChange change : sorted) {
            if (change.version() != expected) {
                return false;
            }
            expected++;
        }
        return sorted.equals(changes);
    }
}

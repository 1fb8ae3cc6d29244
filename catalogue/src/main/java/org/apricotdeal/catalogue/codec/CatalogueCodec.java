package org.apricotdeal.catalogue.codec;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.function.Function;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.PolicyEntry;
import org.apricotdeal.catalogue.model.ServiceEntry;
import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.result.Result;

/**
 * Catalogues and entries as JSON in UTF-8. Fields and entries are written in a fixed order, so that equal catalogues have
 * equal bytes and one digest on every process. Fields that a reader does not know are passed over, for a newer version of
 * the system may have written them.
 */
public final class CatalogueCodec {
    /** Largest encoded catalogue; the key-value service holds values up to one megabyte. */
    public static final int MAX_VALUE_BYTES = 1_000_000;

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .addMixIn(Entry.class, EntryMixIn.class)
            .addMixIn(Catalogue.class, CatalogueMixIn.class)
            .addModule(new SimpleModule("apricotdeal-ids")
                    .addSerializer(CallerId.class, ToStringSerializer.instance)
                    .addSerializer(ClassId.class, ToStringSerializer.instance)
                    .addSerializer(UpstreamId.class, ToStringSerializer.instance)
                    .addDeserializer(CallerId.class, new IdReader<>(CallerId.class, CallerId::new))
                    .addDeserializer(ClassId.class, new IdReader<>(ClassId.class, ClassId::new))
                    .addDeserializer(UpstreamId.class, new IdReader<>(UpstreamId.class, UpstreamId::new)))
            .build();

    private CatalogueCodec() {}

    /** Names the kind of each entry in its JSON. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = ClassEntry.class, name = "class"),
        @JsonSubTypes.Type(value = CallerEntry.class, name = "caller"),
        @JsonSubTypes.Type(value = ModelEntry.class, name = "model"),
        @JsonSubTypes.Type(value = ServiceEntry.class, name = "service"),
        @JsonSubTypes.Type(value = PolicyEntry.class, name = "policy")
    })
    @JsonIgnoreProperties(ignoreUnknown = true)
    private interface EntryMixIn {}

    /** Lets a stored catalogue carry more than the catalogue itself. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    private interface CatalogueMixIn {}

    /** Reads a value type from its text. */
    private static final class IdReader<T> extends FromStringDeserializer<T> {
        private static final long serialVersionUID = 1L;

        private final transient Function<String, T> factory;

        IdReader(Class<T> type, Function<String, T> factory) {
            super(type);
            this.factory = factory;
        }

        @Override
        protected T _deserialize(String text, DeserializationContext context) {
            return factory.apply(text);
        }
    }

    /**
     * Writes a catalogue.
     *
     * @param catalogue the catalogue
     * @return JSON in UTF-8
     */
    public static byte[] encode(Catalogue catalogue) {
        return write(catalogue);
    }

    /**
     * Reads a catalogue. What the stored value holds beside the catalogue is passed over.
     *
     * @param json JSON in UTF-8
     * @return the catalogue, or why the bytes are none
     */
    public static Result<Catalogue, String> decode(byte[] json) {
        Result<Catalogue, String> read = read(json, Catalogue.class);
        return read instanceof Result.Ok<Catalogue, String>(Catalogue catalogue) ? checkKeys(catalogue) : read;
    }

    /**
     * Writes an entry.
     *
     * @param entry the entry
     * @return JSON in UTF-8
     */
    public static byte[] encodeEntry(Entry entry) {
        try {
            return MAPPER.writerFor(Entry.class).writeValueAsBytes(entry);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads an entry.
     *
     * @param json JSON in UTF-8
     * @return the entry, or why the bytes are none
     */
    public static Result<Entry, String> decodeEntry(byte[] json) {
        return read(json, Entry.class);
    }

    /**
     * Computes the digest of a catalogue, by which processes compare theirs.
     *
     * @param catalogue the catalogue
     * @return SHA-256 of its JSON as 64 hexadecimal digits
     */
    public static String digest(Catalogue catalogue) {
        return sha256(encode(catalogue));
    }

    /**
     * Computes the hash under which the catalogue knows a caller's key.
     *
     * @param key the key as the caller sends it
     * @return SHA-256 of its UTF-8 bytes as 64 hexadecimal digits
     */
    public static String keyHash(String key) {
        return sha256(key.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the mapper, for JSON that contains catalogues or entries.
     *
     * @return a copy
     */
    public static ObjectMapper mapper() {
        return MAPPER.copy();
    }

    private static Result<Catalogue, String> checkKeys(Catalogue catalogue) {
        for (Map.Entry<String, Entry> entry : catalogue.entries().entrySet()) {
            if (!entry.getKey().equals(entry.getValue().key())) {
                return Result.err(
                        "entry \"" + entry.getValue().key() + "\" stands under the key \"" + entry.getKey() + "\"");
            }
        }
        return Result.ok(catalogue);
    }

    private static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static <T> Result<T, String> read(byte[] json, Class<T> type) {
        try (JsonParser parser = MAPPER.createParser(json)) {
            T value = MAPPER.readValue(parser, type);
            return value == null ? Result.err("no " + type.getSimpleName() + " but null") : Result.ok(value);
        } catch (IOException | IllegalArgumentException e) {
            return Result.err(String.valueOf(e.getMessage()));
        }
    }

    /**
     * Computes a SHA-256.
     *
     * @param bytes the bytes
     * @return 64 hexadecimal digits
     */
    public static String sha256(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}

package org.apricotdeal.wire;

import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.wire.gen.TPeerMessage;

/** Encodes and decodes the messages between nodes in Thrift's compact protocol. */
public final class PeerCodec {
    /** Maximum size of an encoded message in bytes. */
    public static final int MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

    private PeerCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message, with one field of its body set
     * @return the encoded message
     */
    public static byte[] encode(TPeerMessage message) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
        } catch (TException e) {
            throw new IllegalArgumentException("message cannot be encoded: " + message.getBody(), e);
        }
    }

    /**
     * Decodes a message.
     *
     * @param bytes the bytes received
     * @return the message, or the reason why the bytes cannot be decoded
     */
    public static Result<TPeerMessage, String> decode(byte[] bytes) {
        if (bytes.length > MAX_MESSAGE_BYTES) {
            return Result.err("message of " + bytes.length + " bytes exceeds " + MAX_MESSAGE_BYTES);
        }
        try {
            TPeerMessage message = new TPeerMessage();
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(message, bytes);
            return message.getBody().isSet() ? Result.ok(message) : Result.err("message has no body of a known type");
        } catch (TException e) {
            return Result.err("message cannot be decoded: " + e.getMessage());
        }
    }
}

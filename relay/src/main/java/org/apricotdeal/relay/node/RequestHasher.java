package org.apricotdeal.relay.node;

import java.nio.ByteBuffer;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import org.apricotdeal.relay.model.RequestDigest;

/** Computes the digest of a request while its body is read. Not safe for use by several threads at once. */
final class RequestHasher {
    private final String route;
    private final HashStream128 hash = Hashing.murmur3_128().hashStream();

    /**
     * Begins with the head of a request.
     *
     * @param route name of the route
     * @param method HTTP method
     * @param pathQuery path and query
     * @param customer name of the customer; empty if none is required
     */
    RequestHasher(String route, String method, String pathQuery, String customer) {
        this.route = route;
        hash.putString(method).putString(pathQuery).putString(customer);
    }

    /** Adds content of the body, and leaves the position of the buffer as it is. */
    void add(ByteBuffer content) {
        ByteBuffer view = content.duplicate();
        if (view.hasArray()) {
            hash.putBytes(view.array(), view.arrayOffset() + view.position(), view.remaining());
            return;
        }
        byte[] copy = new byte[view.remaining()];
        view.get(copy);
        hash.putBytes(copy);
    }

    /** Returns the digest of all that was added. */
    RequestDigest digest() {
        HashValue128 value = hash.get();
        return new RequestDigest(route, value.getMostSignificantBits(), value.getLeastSignificantBits());
    }
}

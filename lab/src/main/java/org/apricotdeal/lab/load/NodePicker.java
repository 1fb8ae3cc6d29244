package org.apricotdeal.lab.load;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.eclipse.jetty.client.HttpClient;

/** Spreads requests over addresses as a balancer does: round robin, without those that are not ready. */
final class NodePicker {
    private static final long CHECK_TIMEOUT_MILLIS = 500;

    private final List<String> addresses;
    private final HttpClient client;
    private final Set<String> notReady = ConcurrentHashMap.newKeySet();
    private final AtomicInteger next = new AtomicInteger();

    NodePicker(List<String> addresses, HttpClient client) {
        this.addresses = addresses;
        this.client = client;
    }

    /** Returns the next ready address, or the next one where none is ready. */
    String pick() {
        int first = next.getAndIncrement();
        for (int i = 0; i < addresses.size(); i++) {
            String address = addresses.get(Math.floorMod(first + i, addresses.size()));
            if (!notReady.contains(address)) {
                return address;
            }
        }
        return addresses.get(Math.floorMod(first, addresses.size()));
    }

    /** Asks every address whether it is ready; the answers come in later. */
    void check() {
        for (String address : addresses) {
            client.newRequest("http://" + address + "/readyz")
                    .timeout(CHECK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .send(result -> {
                        if (result.isSucceeded() && result.getResponse().getStatus() == 200) {
                            notReady.remove(address);
                        } else {
                            notReady.add(address);
                        }
                    });
        }
    }
}

package org.apricotdeal.standins.platform;

import java.util.concurrent.atomic.LongAdder;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Counts the calls that reached the key-value service; a waiting watch counts as one. */
final class CallCounts {
    private final LongAdder reads = new LongAdder();
    private final LongAdder writes = new LongAdder();
    private final LongAdder watches = new LongAdder();
    private final LongAdder refused = new LongAdder();
    private final LongAdder vmLists = new LongAdder();

    void read() {
        reads.increment();
    }

    void write() {
        writes.increment();
    }

    void watch() {
        watches.increment();
    }

    void refused() {
        refused.increment();
    }

    void vmList() {
        vmLists.increment();
    }

    ObjectNode json() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("reads", reads.sum());
        json.put("writes", writes.sum());
        json.put("watches", watches.sum());
        json.put("refused", refused.sum());
        json.put("vmLists", vmLists.sum());
        return json;
    }
}

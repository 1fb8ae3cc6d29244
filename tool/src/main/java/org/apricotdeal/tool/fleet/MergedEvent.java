package org.apricotdeal.tool.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import org.apricotdeal.kernel.time.HybridTime;

/**
 * An event of one node's time line.
 *
 * @param wallMillis wall time of its hybrid time
 * @param counter counter of its hybrid time
 * @param process process that recorded it
 * @param code code of its message
 * @param text what happened
 * @param catalogueVersion catalogue version in force, or 0
 * @param planVersion plan version in force, or 0
 */
public record MergedEvent(
        long wallMillis, int counter, String process, int code, String text, long catalogueVersion, long planVersion) {
    /**
     * Reads an event.
     *
     * @param json the node's JSON
     * @return the event
     */
    public static MergedEvent of(JsonNode json) {
        return new MergedEvent(
                json.path("wallMillis").asLong(),
                json.path("counter").asInt(),
                json.path("process").asText(),
                json.path("code").asInt(),
                json.path("text").asText(),
                json.path("catalogueVersion").asLong(),
                json.path("planVersion").asLong());
    }

    /**
     * Returns the event's time.
     *
     * @return its hybrid time
     */
    public HybridTime time() {
        return new HybridTime(wallMillis, counter);
    }

    @Override
    public String toString() {
        return time() + " " + process + " AD" + code + " [catalogue " + catalogueVersion + ", plan " + planVersion
                + "] " + text;
    }
}

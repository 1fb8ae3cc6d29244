package org.apricotdeal.standins.platform;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/** Faults of the platform, set at the start and changed while it runs. */
final class PlatformFaults {
    private boolean isAway;
    private Set<Integer> awayPorts = Set.of();
    private long slowMillis;
    private double lostReplyShare;

    PlatformFaults(long slowMillis, double lostReplyShare) {
        this.slowMillis = slowMillis;
        this.lostReplyShare = lostReplyShare;
    }

    /** Changes the faults named and keeps the others. */
    synchronized void apply(JsonNode json) {
        for (Map.Entry<String, JsonNode> field : json.properties()) {
            switch (field.getKey()) {
                case "away" -> isAway = field.getValue().asBoolean();
                case "awayPorts" -> awayPorts = ports(field.getValue());
                case "slowMillis" -> slowMillis = field.getValue().asLong();
                case "lostReplyShare" -> lostReplyShare = field.getValue().asDouble();
                default ->
                    throw new IllegalArgumentException("unknown fault " + field.getKey()
                            + "; known are away, awayPorts, slowMillis, lostReplyShare");
            }
        }
    }

    synchronized boolean isAway(int port) {
        return isAway || awayPorts.contains(port);
    }

    synchronized long slowMillis() {
        return slowMillis;
    }

    synchronized double lostReplyShare() {
        return lostReplyShare;
    }

    private static Set<Integer> ports(JsonNode json) {
        Set<Integer> ports = new HashSet<>();
        json.forEach(port -> ports.add(port.asInt()));
        return ports;
    }
}

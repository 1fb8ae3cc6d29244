package org.apricotdeal.standins.platform;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.IntPredicate;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotdeal.standins.server.StreamWriter;

/** Watches that wait for changes of a key. */
final class WatchRegistry {
    private final List<Watch> watches = new CopyOnWriteArrayList<>();

    private record Watch(String key, int port, StreamWriter writer) {
        void send(ObjectNode json) {
            writer.write(json + "\n");
        }
    }

    /** Adds a watch and reports the changes that its watcher has missed. */
    void add(String key, int port, StreamWriter writer, long revision, List<KeyValueState.Change> missed) {
        Watch watch = new Watch(key, port, writer);
        writer.onLost(() -> watches.remove(watch));
        watches.add(watch);
        watch.send(GatewayJson.watchCreated(revision));
        if (!missed.isEmpty()) {
            watch.send(GatewayJson.watchEvents(revision, missed));
        }
    }

    void report(long revision, List<KeyValueState.Change> changes) {
        for (KeyValueState.Change change : changes) {
            for (Watch watch : watches) {
                if (watch.key().equals(change.entry().key())) {
                    watch.send(GatewayJson.watchEvents(revision, List.of(change)));
                }
            }
        }
    }

    /** Sends a line without events to each watcher, which finds the watchers that are gone. */
    void reportProgress(long revision) {
        watches.forEach(watch -> watch.send(GatewayJson.watchEvents(revision, List.of())));
    }

    /** Cuts off the watches that came to some ports. */
    void cutOff(IntPredicate port) {
        List<Watch> cut =
                watches.stream().filter(watch -> port.test(watch.port())).toList();
        watches.removeAll(cut);
        cut.forEach(watch -> watch.writer().cutOff());
    }

    int size() {
        return watches.size();
    }
}

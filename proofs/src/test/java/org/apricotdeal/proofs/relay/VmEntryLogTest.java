package org.apricotdeal.proofs.relay;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.VmEntryLog;
import org.apricotdeal.relay.port.StoreChange;
import org.apricotdeal.relay.port.StoreRevision;
import org.apricotdeal.relay.port.VmHeartbeat;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Checks the changes of VM entries that a node can report to another node. */
public final class VmEntryLogTest {
    /** A state of the store after it was restored, with a lower number than before. */
    private static final StoreRevision RESTORED = new StoreRevision(2, 5);

    private VmEntryLog log;

    @BeforeMethod
    public void reset() {
        log = new VmEntryLog(VmEntryLogTest::heartbeat);
    }

    private static UpstreamVm vm(String id, boolean leaving) {
        return new UpstreamVm(
                new VmId(id),
                new UpstreamId("shop"),
                id + ":80",
                new FailureDomainId("a"),
                Optional.empty(),
                "v1",
                4,
                leaving,
                1,
                UpstreamVm.ORDER_COUNT_UNKNOWN,
                List.of(),
                Optional.empty(),
                Optional.empty());
    }

    private static StoreRevision at(long number) {
        return new StoreRevision(1, number);
    }

    /** The test's entries end with the number of their heartbeat; a plus before it marks those of a second start. */
    private static Optional<VmHeartbeat> heartbeat(byte[] value) {
        String text = new String(value, StandardCharsets.UTF_8);
        return Optional.of(
                new VmHeartbeat(text.contains("+") ? 2 : 1, Long.parseLong(text.substring(text.indexOf('@') + 1))));
    }

    private static VersionedValue item(String id, long revision) {
        return new VersionedValue("servers/" + id, revision, (id + "@" + revision).getBytes(StandardCharsets.UTF_8));
    }

    private void write(String id, long revision, boolean leaving) {
        log.recordWrite(item(id, revision), Optional.of(vm(id, leaving)));
        log.advanceTo(at(revision));
    }

    private List<String> changesSince(long revision) {
        return log.changesSince(at(revision)).stream()
                .map(change -> switch (change) {
                    case StoreChange.Written(VersionedValue item) -> new String(item.value(), StandardCharsets.UTF_8);
                    case StoreChange.Deleted(String key, long at) -> key + " removed@" + at;
                })
                .toList();
    }

    @Test
    public void emptyLogHasNoChanges() {
        assertEquals(log.revision(), StoreRevision.NONE);
        assertEquals(changesSince(-1), List.of());
    }

    @Test
    public void heartbeatsAreNotChanges() {
        write("v1", 10, false);
        write("v2", 11, false);
        write("v1", 12, false);
        assertEquals(changesSince(11), List.of());
        assertEquals(changesSince(9), List.of("v1@12", "v2@11"));
        assertEquals(log.revision(), at(12));
    }

    @Test
    public void leavingAndRemovedVmsAreChanges() {
        write("v1", 10, false);
        write("v2", 11, false);
        write("v1", 12, true);
        log.recordRemoval("servers/v2", 13);
        assertEquals(changesSince(11), List.of("v1@12", "servers/v2 removed@13"));
    }

    @Test
    public void restoredEntryIsNoLongerRemoved() {
        write("v1", 10, false);
        log.recordRemoval("servers/v1", 11);
        write("v1", 12, false);
        assertEquals(changesSince(9), List.of("v1@12"));
    }

    @Test
    public void entriesMissingFromListAreRemoved() {
        write("v1", 10, false);
        write("v2", 11, false);
        log.replaceAll(List.of(item("v2", 14)), Map.of("servers/v2", vm("v2", false)), at(20));
        assertEquals(changesSince(11), List.of("servers/v1 removed@20"));
        assertEquals(log.revision(), at(20));
    }

    @Test
    public void oldestRemovalsAreDroppedFirst() {
        for (int i = 0; i < 2_000; i++) {
            log.recordRemoval("servers/v" + i, i);
        }
        List<String> changes = changesSince(-1);
        assertEquals(changes.size(), 512);
        assertEquals(changes.getLast(), "servers/v1999 removed@1999");
    }

    private static VersionedValue beat(String id, long revision, long heartbeat) {
        return new VersionedValue("servers/" + id, revision, (id + "@" + heartbeat).getBytes(StandardCharsets.UTF_8));
    }

    /** Lists the store after it was restored with a lower revision; returns the VMs that are present. */
    private List<String> listRestored(VersionedValue... items) {
        Map<String, UpstreamVm> vms = new HashMap<>();
        for (VersionedValue item : items) {
            vms.put(item.key(), vm(item.key().substring("servers/".length()), false));
        }
        return log.replaceAll(List.of(items), vms, RESTORED).stream()
                .map(vm -> vm.id().value())
                .toList();
    }

    /** Guards against entries and removals of a former incarnation that hide those of the next one. */
    @Test
    public void logBeginsAnewAfterRestore() {
        write("v1", 10, false);
        write("v2", 11, false);
        assertEquals(listRestored(beat("v1", 3, 11)), List.of("v1"));
        assertEquals(log.revision(), RESTORED);
        assertEquals(
                log.changesSince(at(11)).stream().map(StoreChange::revision).toList(), List.of(3L, RESTORED.number()));
        log.recordWrite(beat("v2", 8, 12), Optional.of(vm("v2", false)));
        log.advanceTo(new StoreRevision(2, 8));
        assertEquals(
                log.changesSince(RESTORED).stream().map(StoreChange::revision).toList(), List.of(8L));
    }

    /** Guards against requests to a VM that has left and whose entry returned with the older copy. */
    @Test
    public void removedEntryOfOlderCopyCountsOnlyOnceWrittenAgain() {
        write("v1", 10, false);
        log.recordRemoval("servers/v1", 12);
        assertEquals(listRestored(beat("v1", 3, 9)), List.of());
        // Listed once more in the same incarnation, as after a failed call.
        assertEquals(listRestored(beat("v1", 3, 9)), List.of());
        log.recordWrite(beat("v1", 8, 11), Optional.of(vm("v1", false)));
        assertEquals(
                log.changesSince(RESTORED).stream().map(StoreChange::revision).toList(), List.of(8L));
    }

    /** A log that peers have fed knows an earlier heartbeat than that of the entry whose removal they told. */
    @Test
    public void removedEntryIsWithheldAlsoIfItsLastHeartbeatIsUnknown() {
        write("v1", 3, false);
        log.recordRemoval("servers/v1", 42);
        log.withholdRemoved(List.of(beat("v1", 4, 36)));
        assertEquals(listRestored(beat("v1", 4, 36)), List.of());
        assertEquals(listRestored(beat("v1", 9, 37)), List.of("v1"));
    }

    @Test
    public void removedVmCountsWithLaterHeartbeatOrStart() {
        write("v1", 10, false);
        write("v2", 10, false);
        log.recordRemoval("servers/v1", 12);
        log.recordRemoval("servers/v2", 12);
        VersionedValue restarted = new VersionedValue("servers/v2", 4, "v2+@1".getBytes(StandardCharsets.UTF_8));
        assertEquals(listRestored(beat("v1", 3, 11), restarted), List.of("v1", "v2"));
    }

    /** Guards against requests to a leaving VM whose entry from before it left returned with the older copy. */
    @Test
    public void olderEntryDoesNotReplaceLaterHeartbeat() {
        write("v1", 10, true);
        assertEquals(listRestored(beat("v1", 3, 9)), List.of("v1"));
        assertEquals(
                log.changesSince(at(10)).stream().map(StoreChange::revision).toList(), List.of(RESTORED.number()));
        assertEquals(changesSince(10), List.of("v1@10"));
    }
}

package org.apricotdeal.proofs.relay;

import java.nio.charset.StandardCharsets;
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

    /** The test's entries end with the number of their heartbeat. */
    private static Optional<VmHeartbeat> heartbeat(byte[] value) {
        String text = new String(value, StandardCharsets.UTF_8);
        return Optional.of(new VmHeartbeat(1, Long.parseLong(text.substring(text.indexOf('@') + 1))));
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
}

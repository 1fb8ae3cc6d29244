package org.apricotdeal.proofs.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.platform.Versioned;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.VmEntryLog;
import org.apricotdeal.relay.port.StoreChange;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** What a node can tell another one of the VMs' entries. */
public final class VmEntryLogTest {
    private VmEntryLog log;

    @BeforeMethod
    public void reset() {
        log = new VmEntryLog();
    }

    private static UpstreamVm vm(String id, boolean leaving) {
        return new UpstreamVm(
                new VmId(id),
                new UpstreamId("shop"),
                id + ":80",
                new FailureDomainId("a"),
                Optional.empty(),
                4,
                leaving,
                1,
                UpstreamVm.ORDER_COUNT_UNKNOWN,
                List.of(),
                Optional.empty(),
                Optional.empty());
    }

    private static Versioned item(String id, long revision) {
        return new Versioned("servers/" + id, revision, (id + "@" + revision).getBytes(StandardCharsets.UTF_8));
    }

    private void write(String id, long revision, boolean leaving) {
        log.recordWrite(item(id, revision), Optional.of(vm(id, leaving)));
        log.advanceTo(revision);
    }

    private List<String> newsSince(long revision) {
        return log.changesSince(revision).stream()
                .map(change -> switch (change) {
                    case StoreChange.Written(Versioned item) -> new String(item.value(), StandardCharsets.UTF_8);
                    case StoreChange.Deleted(String key, long at) -> key + " removed@" + at;
                })
                .toList();
    }

    @Test
    public void emptyLogTellsNothing() {
        assertEquals(log.revision(), VmEntryLog.NO_REVISION);
        assertEquals(newsSince(VmEntryLog.NO_REVISION), List.of());
    }

    @Test
    public void heartbeatsOfVmsAreNoNews() {
        write("v1", 10, false);
        write("v2", 11, false);
        write("v1", 12, false);
        assertEquals(newsSince(11), List.of());
        assertEquals(newsSince(9), List.of("v1@12", "v2@11"));
        assertEquals(log.revision(), 12);
    }

    @Test
    public void leavingAndRemovedVmsAreNews() {
        write("v1", 10, false);
        write("v2", 11, false);
        write("v1", 12, true);
        log.recordRemoval("servers/v2", 13);
        assertEquals(newsSince(11), List.of("v1@12", "servers/v2 removed@13"));
    }

    @Test
    public void entryThatIsBackIsNoLongerRemoved() {
        write("v1", 10, false);
        log.recordRemoval("servers/v1", 11);
        write("v1", 12, false);
        assertEquals(newsSince(9), List.of("v1@12"));
    }

    @Test
    public void entriesMissingFromAListHaveBeenRemoved() {
        write("v1", 10, false);
        write("v2", 11, false);
        log.replaceAll(List.of(item("v2", 14)), Map.of("servers/v2", vm("v2", false)), 20);
        assertEquals(newsSince(11), List.of("servers/v1 removed@20"));
        assertEquals(log.revision(), 20);
    }

    @Test
    public void removalsAreForgottenOldestFirst() {
        for (int i = 0; i < 2_000; i++) {
            log.recordRemoval("servers/v" + i, i);
        }
        List<String> news = newsSince(VmEntryLog.NO_REVISION);
        assertEquals(news.size(), 512);
        assertEquals(news.getLast(), "servers/v1999 removed@1999");
    }
}

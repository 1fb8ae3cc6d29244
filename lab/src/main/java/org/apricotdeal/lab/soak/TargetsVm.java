package org.apricotdeal.lab.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.port.StoreRevision;

/** A VM as it truly is, with the requests that nodes sent to it while it was cold and they knew that. */
final class TargetsVm {
    private static final int SLOTS = 30;

    final VmId id;
    final FailureDomainId failureDomain;
    final Deque<Long> sendsWhileCold = new ArrayDeque<>();
    boolean up = true;
    long startedMillis;
    long coldUntilMillis;
    /** Revision of the store's entry that told of the current cold state; empty if the store has lost it. */
    private Optional<StoreRevision> coldRevision = Optional.empty();

    private long toldMillis;

    TargetsVm(VmId id, FailureDomainId failureDomain) {
        this.id = id;
        this.failureDomain = failureDomain;
    }

    boolean isCold(long nowMillis) {
        return nowMillis < coldUntilMillis;
    }

    /** Records that the store tells of the current cold state; earlier requests count no more. */
    void recordTold(StoreRevision atRevision, long nowMillis) {
        coldRevision = Optional.of(atRevision);
        toldMillis = nowMillis;
        sendsWhileCold.clear();
    }

    /** Records that the store has returned from a copy, which does not tell of the current cold state if it is older. */
    void recordRestored(long copiedMillis) {
        coldRevision = coldRevision.filter(told -> toldMillis < copiedMillis);
    }

    /** Records an entry that was written after the store was restored. */
    void recordWrittenAgain(StoreRevision atRevision, long nowMillis) {
        if (coldRevision.isEmpty()) {
            recordTold(atRevision, nowMillis);
        }
    }

    /** Returns whether an entry of a revision tells of the current cold state. */
    boolean isToldBy(StoreRevision revision) {
        return coldRevision.isPresent() && !coldRevision.get().isAfter(revision);
    }

    /** Returns the entry that the VM writes to the store. */
    UpstreamVm entry(UpstreamId upstream, long nowMillis) {
        return new UpstreamVm(
                id,
                upstream,
                id.value() + ":80",
                failureDomain,
                Optional.empty(),
                "v1",
                SLOTS,
                false,
                startedMillis,
                0,
                List.of(),
                Optional.empty(),
                Optional.empty(),
                OptionalLong.of(Math.max(0, coldUntilMillis - nowMillis)),
                false);
    }
}

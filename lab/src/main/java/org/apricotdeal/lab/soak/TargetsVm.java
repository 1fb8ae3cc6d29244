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

/** A VM as it truly is, with the requests that nodes sent to it while it was cold and they knew that. */
final class TargetsVm {
    private static final int SLOTS = 30;

    final VmId id;
    final FailureDomainId failureDomain;
    final Deque<Long> sendsWhileCold = new ArrayDeque<>();
    boolean up = true;
    long startedMillis;
    long coldUntilMillis;
    /** Revision of the store's entry that told of the current cold state. */
    long coldRevision;

    TargetsVm(VmId id, FailureDomainId failureDomain) {
        this.id = id;
        this.failureDomain = failureDomain;
    }

    boolean isCold(long nowMillis) {
        return nowMillis < coldUntilMillis;
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
                OptionalLong.of(Math.max(0, coldUntilMillis - nowMillis)));
    }
}

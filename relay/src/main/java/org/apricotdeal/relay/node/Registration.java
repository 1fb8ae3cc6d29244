package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.misc.HostPort;
import org.apricotdeal.kernel.misc.Names;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.relay.peer.RegistrationReads;
import org.apricotdeal.relay.port.StoreFault;
import org.apricotdeal.relay.port.StoreLease;
import org.apricotdeal.relay.port.StoreRevision;
import org.apricotdeal.relay.port.WatchStore;
import org.apricotdeal.wire.gen.TRelayNode;

/**
 * Keeps this node registered in the store under a lease, and reads the registrations of the other nodes when
 * {@link RegistrationReads} calls for it.
 */
final class Registration extends StoreThread {
    private static final String PREFIX = "apricotdeal/nodes/";
    private static final long LEASE_TTL_MILLIS = 4_000;

    /** Shorter than the time after which a starting node plans, which needs the registrations of the others by then. */
    private static final long RENEW_MILLIS = 1_200;

    private final WatchStore store;
    private final FleetDuty fleet;
    private final DecisionLog log;
    private final RegistrationReads reads;
    private final String key;
    private final byte[] entry;
    private Optional<StoreLease> lease = Optional.empty();

    Registration(TRelayNode self, WatchStore store, FleetDuty fleet, Clock clock, DecisionLog log) {
        super("registration", clock, log);
        this.store = store;
        this.fleet = fleet;
        this.log = log;
        this.reads = new RegistrationReads(clock.monotonicMillis());
        this.key = PREFIX + self.getName();
        this.entry = encode(self);
    }

    @Override
    long runOnce() {
        Optional<StoreFault> failure = lease.isPresent() ? renew(lease.get()) : register();
        if (failure.isPresent()) {
            if (failure.get() instanceof StoreFault.LeaseEnded && lease.isPresent()) {
                lease = Optional.empty();
                return 0;
            }
            return callFailed(failure.get());
        }
        callSucceeded();
        updatePeers();
        return RENEW_MILLIS;
    }

    private void updatePeers() {
        PeerSnapshot known = fleet.peerSnapshot();
        long nowMillis = clock().monotonicMillis();
        List<String> names = known.peers().stream().map(Peer::name).toList();
        if (!reads.isDue(names, known.heard(), nowMillis)) {
            fleet.put(new FleetEvent.PeersConfirmed());
        } else if (store.range(PREFIX, true)
                instanceof Result.Ok<WatchStore.Range, StoreFault>(WatchStore.Range range)) {
            reads.recordRead(nowMillis);
            fleet.put(new FleetEvent.PeersListed(peers(range.items())));
        }
    }

    private Optional<StoreFault> renew(StoreLease held) {
        return switch (store.renewLease(held)) {
            case Result.Ok<Long, StoreFault> ok -> Optional.empty();
            case Result.Err<Long, StoreFault>(StoreFault fault) -> Optional.of(fault);
        };
    }

    private Optional<StoreFault> register() {
        return switch (store.grantLease(LEASE_TTL_MILLIS)) {
            case Result.Err<StoreLease, StoreFault>(StoreFault fault) -> Optional.of(fault);
            case Result.Ok<StoreLease, StoreFault>(StoreLease granted) -> writeEntry(granted);
        };
    }

    private Optional<StoreFault> writeEntry(StoreLease granted) {
        return switch (store.write(key, entry, granted)) {
            case Result.Err<StoreRevision, StoreFault>(StoreFault fault) -> Optional.of(fault);
            case Result.Ok<StoreRevision, StoreFault> ok -> {
                lease = Optional.of(granted);
                log.state("registered").with("lease", granted.id()).write();
                yield Optional.empty();
            }
        };
    }

    private List<Peer> peers(List<VersionedValue> items) {
        List<Peer> peers = new ArrayList<>();
        for (VersionedValue item : items) {
            try {
                TRelayNode node = new TRelayNode();
                new TDeserializer(new TCompactProtocol.Factory()).deserialize(node, item.value());
                peers.add(peer(node));
            } catch (TException | IllegalArgumentException e) {
                log.state("node_entry_unreadable")
                        .with("key", item.key())
                        .with("reason", e)
                        .write();
            }
        }
        return peers;
    }

    /**
     * Returns the described node.
     *
     * @throws IllegalArgumentException if its name, failure domain or address is invalid
     */
    static Peer peer(TRelayNode node) {
        HostPort address = HostPort.parse(node.getPeerAddress());
        return new Peer(
                Names.require(node.getName()),
                new FailureDomainId(node.getFailureDomain()),
                address.host() + ":" + address.port(),
                node.getStartedMillis(),
                Optional.ofNullable(node.getCallerAddress())
                        .map(HostPort::parse)
                        .map(caller -> caller.host() + ":" + caller.port()));
    }

    private static byte[] encode(TRelayNode node) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(node);
        } catch (TException e) {
            throw new IllegalStateException("failed to encode a node entry", e);
        }
    }

    /** Removes the registration of this node, so that other nodes take over its planning immediately. */
    void deregister() {
        Optional<StoreLease> held = lease;
        if (held.isPresent()
                && store.endLease(held.get()) instanceof Result.Err<Boolean, StoreFault>(StoreFault fault)) {
            log.state("lease_not_ended")
                    .with("lease", held.get().id())
                    .with("fault", fault)
                    .write();
        }
    }
}

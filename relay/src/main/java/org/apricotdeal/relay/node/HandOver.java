package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.peer.HeardNodes;
import org.apricotdeal.relay.peer.PartnerChoice;
import org.apricotdeal.relay.policy.AttemptId;
import org.apricotdeal.relay.policy.AttemptOutcome;
import org.apricotdeal.relay.policy.RefusalDetails;
import org.apricotdeal.relay.policy.RefusalReason;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.Target;
import org.apricotdeal.relay.policy.TargetId;
import org.apricotdeal.relay.port.ExchangeHeaders;

/**
 * Hands requests over to other nodes that this node cannot send to any VM, although VMs that serve them are listed. A request
 * is handed over once, before any VM may have run it, and the node that takes it sends it to VMs only. If that node cannot serve
 * it either, the caller gets the refusal that it would have got.
 */
final class HandOver {
    /** Number of the attempt at another node, above those of attempts at VMs. */
    private static final int ATTEMPT_NUMBER = 1_000_000;

    /** Time after which a caller may retry whose request no other node serves either; retries reach other nodes. */
    private static final long ISOLATED_RETRY_MILLIS = 500;

    private final FailureDomainId ownDomain;
    private final UpstreamRequest.Factory requests;
    private final ExchangeHeaders headerNames;
    private final CallerResources callerResources;
    private final VmReach reach;
    private final Clock clock;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final PartnerChoice partners = new PartnerChoice();

    /**
     * Creates a hand-over.
     *
     * @param ownDomain failure domain of this node
     * @param requests creates the requests to other nodes
     * @param headerNames the platform's names of headers
     * @param callerResources limits what answers hold of the memory
     * @param reach knows the listed VMs and the other nodes
     * @param clock clock
     * @param log receives a line for each request
     * @param metrics receives the number of requests by their end
     */
    HandOver(
            FailureDomainId ownDomain,
            UpstreamRequest.Factory requests,
            ExchangeHeaders headerNames,
            CallerResources callerResources,
            VmReach reach,
            Clock clock,
            DecisionLog log,
            MetricRegistry metrics) {
        this.ownDomain = ownDomain;
        this.requests = requests;
        this.headerNames = headerNames;
        this.callerResources = callerResources;
        this.reach = reach;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * Hands a request over instead of refusing it.
     *
     * @param exchange the request, which no VM has run
     * @param refusal the refusal that the caller gets if no other node serves the request
     * @param relay receives the end of the request
     * @return false if no node is there to take it, so that it is to be refused
     */
    boolean begin(Exchange exchange, RelayAction.Refuse refusal, RelayDuty relay) {
        if (NodeAttempt.isHop(exchange.request()) || !mayServeElsewhere(exchange, refusal.reason())) {
            return false;
        }
        Optional<PartnerChoice.Candidate> partner = partners.choose(candidates(), clock.monotonicMillis());
        if (partner.isEmpty()) {
            metrics.counter("handed.over.nowhere").inc();
            return false;
        }
        metrics.counter("handed.over").inc();
        log.request("handed_over")
                .with("request", exchange.requestId())
                .with("node", partner.get().name())
                .with("reason", refusal.reason())
                .write();
        NodeAttempt attempt = new NodeAttempt(
                exchange,
                send(exchange, partner.get()),
                headerNames,
                clock,
                new Relayed(relay, refusal, partner.get().name()),
                callerResources);
        exchange.addAttempt(attempt);
        attempt.send(requests);
        return true;
    }

    /**
     * Hands a request over on its arrival if this node is isolated from the VMs.
     *
     * @param exchange the request
     * @param relay receives the end of the request
     * @return false if the node should try to serve it
     */
    boolean beginIfIsolated(Exchange exchange, RelayDuty relay) {
        if (!reach.isIsolated()) {
            return false;
        }
        RefusalDetails details = new RefusalDetails(0, -1, 0, 0, 0);
        return begin(
                exchange,
                new RelayAction.Refuse(
                        exchange.arrival().id(), RefusalReason.NO_TARGET, ISOLATED_RETRY_MILLIS, details),
                relay);
    }

    private boolean mayServeElsewhere(Exchange exchange, RefusalReason reason) {
        return switch (reason) {
            case NO_TARGET -> reach.isListed(exchange.arrival().queue());
            case OVERLOAD, WAITED_OUT, NOT_RUN -> reach.isIsolated();
            case EVACUATED, TOO_LARGE, SUSPECT_REQUEST, BROKEN, TIMEOUT, STOPPING -> false;
        };
    }

    private List<PartnerChoice.Candidate> candidates() {
        PeerSnapshot snapshot = reach.peerSnapshot();
        List<PartnerChoice.Candidate> candidates = new ArrayList<>();
        for (Peer peer : snapshot.peers()) {
            HeardNodes.Heard heard = snapshot.heard().get(peer.name());
            if (peer.callerAddress().isPresent()
                    && heard != null
                    && !snapshot.stopping().contains(peer.name())) {
                candidates.add(new PartnerChoice.Candidate(
                        peer.name(),
                        peer.callerAddress().get(),
                        peer.failureDomain().equals(ownDomain),
                        heard.atMillis()));
            }
        }
        return candidates;
    }

    /** Returns the attempt at another node, which is numbered apart from those at VMs and is never repeated. */
    private RelayAction.Send send(Exchange exchange, PartnerChoice.Candidate partner) {
        VmId node = new VmId(partner.name());
        Target target = new Target(
                new TargetId(node, 0),
                exchange.arrival().queue(),
                partner.address(),
                "",
                ownDomain,
                Integer.MAX_VALUE,
                List.of(),
                OptionalLong.empty());
        AttemptId attempt = new AttemptId(exchange.arrival().id(), ATTEMPT_NUMBER);
        return new RelayAction.Send(attempt, target, Integer.MAX_VALUE, 0, 0);
    }

    /** Passes the end of an attempt at another node on. */
    private final class Relayed implements UpstreamAttempt.Listener {
        private final RelayDuty relay;
        private final RelayAction.Refuse refusal;
        private final String node;

        Relayed(RelayDuty relay, RelayAction.Refuse refusal, String node) {
            this.relay = relay;
            this.refusal = refusal;
            this.node = node;
        }

        @Override
        public void started(UpstreamAttempt attempt) {}

        @Override
        public void used(UpstreamAttempt attempt) {}

        @Override
        public void paused(UpstreamAttempt attempt, long pauseMillis) {}

        @Override
        public void leaving(UpstreamAttempt attempt) {}

        @Override
        public void completed(UpstreamAttempt attempt, int status) {
            relay.completed(attempt, status);
        }

        @Override
        public void failed(
                UpstreamAttempt attempt, AttemptOutcome outcome, String reason, Optional<String> faultyAddress) {
            metrics.counter("handed.over.failed." + outcome).inc();
            log.request("hand_over_failed")
                    .with("request", attempt.exchange().requestId())
                    .with("node", node)
                    .with("outcome", outcome)
                    .with("reason", reason)
                    .write();
            // A node that refuses has no room either, or is cut off as well.
            partners.avoid(node, clock.monotonicMillis());
            relay.endHandedOver(refusal, outcome == AttemptOutcome.NOT_RUN || outcome == AttemptOutcome.NOT_SENT);
        }
    }
}

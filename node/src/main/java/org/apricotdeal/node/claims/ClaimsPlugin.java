package org.apricotdeal.node.claims;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.duty.Duty;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.kernel.NodePlugin;
import org.apricotdeal.node.platform.StoreDuties;
import org.apricotdeal.platform.call.StoreCall;
import org.apricotdeal.policy.claims.ClaimAction;
import org.apricotdeal.policy.claims.ClaimEvent;
import org.apricotdeal.policy.claims.ClaimJournal;
import org.apricotdeal.policy.claims.ClaimSettings;

/** Runs the claims journal on its own duty. */
public final class ClaimsPlugin implements NodePlugin, Claims {
    private static final int RING_SLOTS = 16_384;
    private static final long TICK_MILLIS = 20;

    private final Map<RequestId, Consumer<ClaimAction>> listeners = new HashMap<>();
    private NodeKernel kernel;
    private ClaimJournal journal;
    private Duty<Input> duty;
    private Consumer<StoreCall> store;

    /** An event for the journal; the listener is null unless the event requests a claim. */
    private record Input(ClaimEvent event, Consumer<ClaimAction> onDecision) {}

    @Override
    public String name() {
        return "claims";
    }

    @Override
    public void register(NodeKernel nodeKernel) {
        kernel = nodeKernel;
        journal = new ClaimJournal(ClaimSettings.DEFAULT, kernel.bootId(), RandomSource.XO_RO_SHI_RO_128_PP.create());
        kernel.offer(Claims.class, this);
    }

    @Override
    public void start(NodeKernel nodeKernel) {
        duty = kernel.duty("claims", RING_SLOTS, TICK_MILLIS, this::handleInput, () -> step(new ClaimEvent.Tick()));
        store = kernel.require(StoreDuties.class)
                .start("claims", reply -> duty.put(new Input(new ClaimEvent.Reply(reply), null)));
    }

    @Override
    public void claim(ClaimEvent.Request request, Consumer<ClaimAction> onDecision) {
        duty.put(new Input(request, onDecision));
    }

    @Override
    public void report(ClaimEvent event) {
        duty.put(new Input(event, null));
    }

    private void handleInput(Input input) {
        if (input.event() instanceof ClaimEvent.Request request) {
            listeners.put(request.requestId(), input.onDecision());
        } else if (input.event() instanceof ClaimEvent.Abandoned(RequestId request)) {
            listeners.remove(request);
        }
        step(input.event());
    }

    private void step(ClaimEvent event) {
        for (ClaimAction action : journal.step(kernel.clock().monotonicMillis(), event)) {
            switch (action) {
                case ClaimAction.Store(StoreCall call) -> store.accept(call);
                case ClaimAction.Granted granted -> deliverDecision(granted.requestId(), "granted", action);
                case ClaimAction.Refused refused -> deliverDecision(refused.requestId(), "refused", action);
                case ClaimAction.Replay replay -> deliverDecision(replay.requestId(), "replayed", action);
            }
        }
    }

    private void deliverDecision(RequestId request, String counter, ClaimAction decision) {
        kernel.metrics().counter("claims." + counter).inc();
        Optional.ofNullable(listeners.remove(request)).ifPresent(listener -> listener.accept(decision));
    }
}

package org.apricotdeal.proofs.catalogue;

import java.util.List;
import java.util.Optional;

import org.apricotdeal.catalogue.change.CatalogueChange;
import org.apricotdeal.catalogue.change.ChangeAction;
import org.apricotdeal.catalogue.change.ChangeEvent;
import org.apricotdeal.catalogue.change.ChangeMachine;
import org.apricotdeal.catalogue.change.ChangeOutcome;
import org.apricotdeal.catalogue.check.EntryPlaces;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.lab.sim.SimStore;

/** An operator of a randomised run, who sends one change. */
final class SimOperator {
    private static final long TIMEOUT_MILLIS = 8_000;

    private final String name;
    private final Scheduler scheduler;
    private final SimStore store;
    private final CatalogueChange change;
    private final ChangeMachine machine;
    private Optional<ChangeOutcome> outcome = Optional.empty();

    SimOperator(String name, Scheduler scheduler, SimStore store, CatalogueChange change, boolean mayRebase) {
        this.name = name;
        this.scheduler = scheduler;
        this.store = store;
        this.change = change;
        this.machine = new ChangeMachine(change, mayRebase, EntryPlaces.of("test"), TIMEOUT_MILLIS);
    }

    SimOperator start() {
        step(new ChangeEvent.Start());
        return this;
    }

    CatalogueChange change() {
        return change;
    }

    Optional<ChangeOutcome> outcome() {
        return outcome;
    }

    private void step(ChangeEvent event) {
        List<ChangeAction> actions = machine.step(scheduler.monotonicMillis(), event);
        for (ChangeAction action : actions) {
            switch (action) {
                case ChangeAction.Call(var call) ->
                    store.call(name, call, reply -> step(new ChangeEvent.Replied(reply)));
                case ChangeAction.Wait(long millis) -> scheduler.after(millis, () -> step(new ChangeEvent.Waited()));
                case ChangeAction.Finish(ChangeOutcome ended) -> outcome = Optional.of(ended);
            }
        }
    }
}

package org.apricotdeal.catalogue.change;

import java.util.concurrent.TimeUnit;

import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.platform.KeyValueStore;
import org.apricotdeal.platform.call.StoreCallExecutor;

/** Drives a {@link ChangeMachine} on a key-value service; blocks until the change has ended. */
public final class CatalogueWriter {
    private final StoreCallExecutor caller;
    private final Clock clock;

    /**
     * Creates a writer.
     *
     * @param store the key-value service
     * @param clock the machine's clock
     */
    public CatalogueWriter(KeyValueStore store, Clock clock) {
        this.caller = new StoreCallExecutor(store);
        this.clock = clock;
    }

    /**
     * Brings a change into the catalogue.
     *
     * @param machine a fresh machine with the change
     * @return how the change ended
     * @throws InterruptedException where the thread was interrupted while it waited; the outcome is unknown then
     */
    public ChangeOutcome write(ChangeMachine machine) throws InterruptedException {
        ChangeEvent event = new ChangeEvent.Start();
        while (true) {
            ChangeAction action = machine.step(clock.monotonicMillis(), event).getFirst();
            switch (action) {
                case ChangeAction.Finish(ChangeOutcome outcome) -> {
                    return outcome;
                }
                case ChangeAction.Call(var call) -> event = new ChangeEvent.Replied(caller.call(call));
                case ChangeAction.Wait(long millis) -> {
                    TimeUnit.MILLISECONDS.sleep(millis);
                    event = new ChangeEvent.Waited();
                }
            }
        }
    }
}

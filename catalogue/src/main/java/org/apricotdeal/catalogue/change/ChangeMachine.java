package org.apricotdeal.catalogue.change;

import java.util.List;
import java.util.Optional;

import org.apricotdeal.catalogue.check.EntryPlaces;
import org.apricotdeal.kernel.duty.StateMachine;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.misc.Invariants;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.platform.call.StoreCall;
import org.apricotdeal.platform.call.StoreReply;

/**
 * Brings one change into the catalogue: reads the value, decides, swaps, and goes round again until it is certain what
 * came of the change or the time is up.
 *
 * <p>A swap can end in four ways. It was done; then the change is accepted. The revision was another; then the value that
 * came with the conflict is decided upon afresh, for the change may have lost, or may fit all the same. It certainly was
 * not done; then it is tried again. Its reply was lost; then only reading helps, and what is read tells apart three cases:
 *
 * <ul>
 *   <li>The change's id is among the recent changes: it was done, however many changes followed.
 *   <li>The revision is not the one that the swap expected, and the id is absent: the swap was not done and never will
 *       be, since revisions only grow.
 *   <li>The revision is still the one that the swap expected: the swap may be under way. The same swap is sent again; one
 *       of the two is done, the other meets a conflict, and both write the same change under the same number.
 * </ul>
 *
 * <p>So a change is never written twice, and the machine says "not done" only when no swap of its own can still take
 * effect. When time runs out before that, the outcome is unknown and the operator can send the same change again. Traded
 * for this: a change of unknown outcome costs reads until the service answers, at one each {@value #RETRY_MILLIS} ms.
 */
public final class ChangeMachine implements StateMachine<ChangeEvent, ChangeAction> {
    /** Time between a failed call and the next one, in milliseconds. */
    public static final long RETRY_MILLIS = 200;

    private static final long NONE = -1;

    private final CatalogueChange change;
    private final boolean mayRebase;
    private final EntryPlaces places;
    private final long timeoutMillis;
    private long deadlineMillis;
    private long nextCallId = 1;
    private long awaitedCallId = NONE;
    private boolean awaitsSwap;
    private long swapRevision = NONE;
    private long swapVersion;
    private long unsettledRevision = NONE;
    private boolean hasEnded;

    /**
     * Creates a machine.
     *
     * @param change the change
     * @param mayRebase whether the change may be carried over other operators' changes of other entries
     * @param places tells where entries stand, for findings
     * @param timeoutMillis time after which to give up, in milliseconds
     */
    public ChangeMachine(CatalogueChange change, boolean mayRebase, EntryPlaces places, long timeoutMillis) {
        this.change = change;
        this.mayRebase = mayRebase;
        this.places = places;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public List<ChangeAction> step(long nowMillis, ChangeEvent event) {
        if (hasEnded) {
            return List.of();
        }
        return switch (event) {
            case ChangeEvent.Start() -> {
                deadlineMillis = nowMillis + timeoutMillis;
                yield read();
            }
            case ChangeEvent.Waited() -> read();
            case ChangeEvent.Replied(StoreReply reply) ->
                reply.callId() == awaitedCallId ? takeReply(nowMillis, reply) : List.of();
        };
    }

    private List<ChangeAction> read() {
        awaitsSwap = false;
        awaitedCallId = nextCallId++;
        return List.of(new ChangeAction.Call(new StoreCall.Get(awaitedCallId, StoredCatalogue.KEY)));
    }

    private List<ChangeAction> takeReply(long nowMillis, StoreReply reply) {
        return switch (reply) {
            case StoreReply.Value(long id, Optional<VersionedValue> value) -> decide(value);
            case StoreReply.Conflict(long id, Optional<VersionedValue> current) -> decide(current);
            case StoreReply.Swapped(long id, long revision) ->
                finish(new ChangeOutcome.Accepted(swapVersion, swapVersion != change.baseVersion() + 1, false));
            case StoreReply.Failed(long id, PlatformError error) -> retry(nowMillis, error);
            case StoreReply.Lease lease -> throw new IllegalStateException("no lease was asked for: " + lease);
        };
    }

    private List<ChangeAction> retry(long nowMillis, PlatformError error) {
        if (awaitsSwap && error instanceof PlatformError.Unknown) {
            Invariants.check(
                    unsettledRevision == NONE || unsettledRevision == swapRevision,
                    "catalogue-one-unsettled-swap",
                    () -> unsettledRevision + " and " + swapRevision);
            unsettledRevision = swapRevision;
        }
        if (nowMillis < deadlineMillis) {
            awaitedCallId = NONE;
            return List.of(new ChangeAction.Wait(RETRY_MILLIS));
        }
        return finish(
                unsettledRevision == NONE
                        ? new ChangeOutcome.NotDone(error.detail())
                        : new ChangeOutcome.Unknown(error.detail()));
    }

    private List<ChangeAction> decide(Optional<VersionedValue> value) {
        long revision = value.map(VersionedValue::revision).orElse(0L);
        Result<StoredCatalogue, String> stored =
                value.map(found -> StoredCatalogueCodec.decode(found.value())).orElse(Result.ok(StoredCatalogue.EMPTY));
        return switch (stored) {
            case Result.Err<StoredCatalogue, String>(String error) -> finish(unreadable(error));
            case Result.Ok<StoredCatalogue, String>(StoredCatalogue current) -> decide(current, revision);
        };
    }

    private List<ChangeAction> decide(StoredCatalogue current, long revision) {
        boolean mayHaveBeenDone = unsettledRevision != NONE;
        if (unsettledRevision != revision) {
            unsettledRevision = NONE;
        }
        return switch (ChangeRules.decide(current, change, mayRebase, places)) {
            case ChangeVerdict.Applicable(StoredCatalogue next) -> swap(next, revision);
            case ChangeVerdict.AlreadyAccepted(long version) ->
                finish(new ChangeOutcome.Accepted(version, version != change.baseVersion() + 1, true));
            case ChangeVerdict.NothingToDo(long version) -> finish(new ChangeOutcome.Unchanged(version));
            case ChangeVerdict.Outdated outdated -> finish(new ChangeOutcome.Lost(outdated));
            case ChangeVerdict.BaseUnknown(long base, long version) ->
                finish(
                        mayHaveBeenDone
                                ? new ChangeOutcome.Unknown("the recent changes do not reach back to the lost reply")
                                : new ChangeOutcome.BaseUnknown(base, version));
            case ChangeVerdict.Invalid(Findings findings) -> finish(new ChangeOutcome.Invalid(findings));
        };
    }

    private List<ChangeAction> swap(StoredCatalogue next, long revision) {
        awaitsSwap = true;
        swapRevision = revision;
        swapVersion = next.catalogue().version();
        awaitedCallId = nextCallId++;
        return List.of(new ChangeAction.Call(new StoreCall.Swap(
                awaitedCallId, StoredCatalogue.KEY, revision, StoredCatalogueCodec.encode(next), 0)));
    }

    private ChangeOutcome unreadable(String error) {
        Findings findings = new Findings();
        findings.add(Message.CATALOGUE_UNREADABLE, places.place(StoredCatalogue.KEY, ""), error);
        return new ChangeOutcome.Invalid(findings);
    }

    private List<ChangeAction> finish(ChangeOutcome outcome) {
        boolean saysNotWritten =
                switch (outcome) {
                    case ChangeOutcome.Accepted accepted -> false;
                    case ChangeOutcome.Unknown unknown -> false;
                    default -> true;
                };
        Invariants.check(
                !saysNotWritten || unsettledRevision == NONE,
                "catalogue-not-written-is-certain",
                () -> outcome + " while a swap at revision " + unsettledRevision + " may take effect");
        hasEnded = true;
        return List.of(new ChangeAction.Finish(outcome));
    }
}

package org.apricotdeal.node.caller;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.node.catalogue.CatalogueRef;
import org.apricotdeal.node.kernel.InProgress;
import org.apricotdeal.node.kernel.NodeEvent;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.settings.NodeSettings;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Promise;

/** What every request passes before its body counts: room at the node, the catalogue, the caller's key, the body's size. */
final class Gate {
    private final NodeKernel kernel;
    private final CatalogueRef catalogue;
    private final InProgress inProgress;
    private final WorkIntake intake;
    private final AtomicLong requests = new AtomicLong();
    private volatile CallerIndex callers;

    /** A request whose caller is known. */
    record Admitted(Catalogue catalogue, CallerEntry caller, RequestId id, long receivedAtMillis) {}

    Gate(NodeKernel kernel) {
        this.kernel = kernel;
        this.catalogue = kernel.require(CatalogueRef.class);
        this.inProgress = kernel.require(InProgress.class);
        this.intake = kernel.require(WorkIntake.class);
        catalogue.get().ifPresent(known -> callers = new CallerIndex(known));
        kernel.subscribe(event -> {
            if (event instanceof NodeEvent.CatalogueAdopted(Catalogue adopted)) {
                callers = new CallerIndex(adopted);
            }
        });
    }

    WorkIntake intake() {
        return intake;
    }

    NodeSettings.Http bounds() {
        return kernel.settings().http();
    }

    /** Admits a request; each admitted request has to be ended by {@link #leave()} or by the intake. */
    Result<Admitted, Failure> admit(Request request, boolean forwarded) {
        if (inProgress.count() >= bounds().maxRequestsInProgress()) {
            return refuse(Failure.retryLater(503, FailureCode.QUEUE_FULL, "the node holds too many requests", 1_000));
        }
        Optional<Catalogue> known = catalogue.get();
        CallerIndex index = callers;
        if (known.isEmpty() || index == null) {
            return refuse(Failure.retryLater(503, FailureCode.NOT_READY, "the catalogue is not known yet", 1_000));
        }
        Optional<CallerEntry> caller = forwarded
                ? known.get()
                        .find("caller " + request.getHeaders().get(RequestContext.CALLER_HEADER), CallerEntry.class)
                : index.find(request.getHeaders().get(HttpHeader.AUTHORIZATION));
        if (caller.isEmpty()) {
            return refuse(
                    Failure.notRun(401, FailureCode.UNAUTHORISED, "authorization: expected Bearer and a caller's key"));
        }
        if (request.getLength() > bounds().maxBodyBytes()) {
            return refuse(tooLarge());
        }
        if (!inProgress.enter()) {
            return refuse(Failure.retryLater(503, FailureCode.SHUTTING_DOWN, "the node is shutting down", 1_000));
        }
        kernel.metrics().counter("http.requests").inc();
        RequestId id = new RequestId(kernel.bootId() + "-" + requests.incrementAndGet());
        return Result.ok(
                new Admitted(known.get(), caller.get(), id, kernel.clock().monotonicMillis()));
    }

    void leave() {
        inProgress.leave();
    }

    Failure overloaded() {
        return Failure.retryLater(503, FailureCode.QUEUE_FULL, "the node is overloaded", 1_000);
    }

    private Result<Admitted, Failure> refuse(Failure failure) {
        kernel.metrics().counter("http.refused." + failure.code().word()).inc();
        return Result.err(failure);
    }

    private Failure tooLarge() {
        return Failure.notRun(413, FailureCode.TOO_LARGE, "the body exceeds " + bounds().maxBodyBytes() + " bytes");
    }

    /** Reads a request's body within the bounds on its size and time. */
    void readBody(Request request, Consumer<Result<byte[], Failure>> onBody) {
        Promise.Completable<byte[]> body = new Promise.Completable<>();
        Content.Source.asByteArrayAsync(request, bounds().maxBodyBytes(), Promise.Invocable.toPromise(body));
        var unused = body.orTimeout(bounds().bodyTimeoutMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((bytes, failure) -> {
                    if (failure == null) {
                        onBody.accept(Result.ok(bytes));
                    } else {
                        onBody.accept(Result.err(bodyFailure(failure)));
                    }
                });
    }

    private Failure bodyFailure(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        if (cause instanceof TimeoutException) {
            return Failure.notRun(408, FailureCode.BODY_TIMEOUT, "the body did not arrive in time");
        }
        if (cause instanceof IllegalStateException) {
            return tooLarge();
        }
        return Failure.notRun(400, FailureCode.BAD_REQUEST, "the body cannot be read");
    }
}

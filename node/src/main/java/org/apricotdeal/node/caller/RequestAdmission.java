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
import org.apricotdeal.node.kernel.NodeEvent;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.kernel.RequestsInProgress;
import org.apricotdeal.node.settings.NodeSettings;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Promise;

/**
 * Checks each request before its body is parsed: the number of requests in progress, whether the catalogue is loaded, the
 * caller's key and the size of the body.
 */
final class RequestAdmission {
    private final NodeKernel kernel;
    private final CatalogueRef catalogue;
    private final RequestsInProgress inProgress;
    private final WorkIntake intake;
    private final AtomicLong requestCounter = new AtomicLong();
    private volatile CallerIndex callerIndex;

    /** A request that was admitted, with its authenticated caller. */
    record AdmittedRequest(Catalogue catalogue, CallerEntry caller, RequestId id, long receivedAtMillis) {}

    RequestAdmission(NodeKernel kernel) {
        this.kernel = kernel;
        this.catalogue = kernel.require(CatalogueRef.class);
        this.inProgress = kernel.require(RequestsInProgress.class);
        this.intake = kernel.require(WorkIntake.class);
        catalogue.get().ifPresent(current -> callerIndex = new CallerIndex(current));
        kernel.subscribe(event -> {
            if (event instanceof NodeEvent.CatalogueAdopted(Catalogue adopted)) {
                callerIndex = new CallerIndex(adopted);
            }
        });
    }

    WorkIntake intake() {
        return intake;
    }

    NodeSettings.Http limits() {
        return kernel.settings().http();
    }

    /** Admits a request. Each admitted request must be ended, either by {@link #release()} or by the intake. */
    Result<AdmittedRequest, Failure> admit(Request request, boolean forwarded) {
        if (inProgress.count() >= limits().maxRequestsInProgress()) {
            return reject(Failure.retryLater(503, FailureCode.QUEUE_FULL, "the node holds too many requests", 1_000));
        }
        Optional<Catalogue> currentCatalogue = catalogue.get();
        CallerIndex currentCallers = callerIndex;
        if (currentCatalogue.isEmpty() || currentCallers == null) {
            return reject(Failure.retryLater(503, FailureCode.NOT_READY, "the catalogue is not known yet", 1_000));
        }
        Optional<CallerEntry> caller = forwarded
                ? currentCatalogue
                        .get()
                        .find("caller " + request.getHeaders().get(RequestContext.CALLER_HEADER), CallerEntry.class)
                : currentCallers.find(request.getHeaders().get(HttpHeader.AUTHORIZATION));
        if (caller.isEmpty()) {
            return reject(
                    Failure.notRun(401, FailureCode.UNAUTHORISED, "authorization: expected Bearer and a caller's key"));
        }
        if (request.getLength() > limits().maxBodyBytes()) {
            return reject(bodyTooLarge());
        }
        if (!inProgress.tryAdmit()) {
            return reject(Failure.retryLater(503, FailureCode.SHUTTING_DOWN, "the node is shutting down", 1_000));
        }
        kernel.metrics().counter("http.requests").inc();
        RequestId id = new RequestId(kernel.bootId() + "-" + requestCounter.incrementAndGet());
        return Result.ok(new AdmittedRequest(
                currentCatalogue.get(), caller.get(), id, kernel.clock().monotonicMillis()));
    }

    void release() {
        inProgress.release();
    }

    Failure overloadFailure() {
        return Failure.retryLater(503, FailureCode.QUEUE_FULL, "the node is overloaded", 1_000);
    }

    private Result<AdmittedRequest, Failure> reject(Failure failure) {
        kernel.metrics()
                .counter("http.refused." + failure.code().externalName())
                .inc();
        return Result.err(failure);
    }

    private Failure bodyTooLarge() {
        return Failure.notRun(413, FailureCode.TOO_LARGE, "the body exceeds " + limits().maxBodyBytes() + " bytes");
    }

    /** Reads a request's body within the limits on its size and on the time to receive it. */
    void readBody(Request request, Consumer<Result<byte[], Failure>> onBody) {
        Promise.Completable<byte[]> body = new Promise.Completable<>();
        Content.Source.asByteArrayAsync(request, limits().maxBodyBytes(), Promise.Invocable.toPromise(body));
        var unused = body.orTimeout(limits().bodyTimeoutMillis(), TimeUnit.MILLISECONDS)
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
            return bodyTooLarge();
        }
        return Failure.notRun(400, FailureCode.BAD_REQUEST, "the body cannot be read");
    }
}

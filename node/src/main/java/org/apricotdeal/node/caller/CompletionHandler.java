package org.apricotdeal.node.caller;

import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.result.Result;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Handles completion requests. */
final class CompletionHandler extends Handler.Abstract.NonBlocking {
    private final RequestAdmission admission;
    private final boolean forwarded;

    CompletionHandler(RequestAdmission admission, boolean forwarded) {
        this.admission = admission;
        this.forwarded = forwarded;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!request.getMethod().equals("POST")) {
            FailureWriter.write(Failure.notRun(405, FailureCode.BAD_REQUEST, "expected POST"), response, callback);
            return true;
        }
        switch (admission.admit(request, forwarded)) {
            case Result.Err<RequestAdmission.AdmittedRequest, Failure>(Failure failure) ->
                FailureWriter.write(failure, response, callback);
            case Result.Ok<RequestAdmission.AdmittedRequest, Failure>(RequestAdmission.AdmittedRequest admitted) ->
                admission.readBody(request, body -> handleBody(admitted, body, request, response, callback));
        }
        return true;
    }

    private void handleBody(
            RequestAdmission.AdmittedRequest admitted,
            Result<byte[], Failure> body,
            Request request,
            Response response,
            Callback callback) {
        switch (check(admitted, body, request)) {
            case Result.Err<CheckedCompletion, Failure>(Failure failure) -> reject(failure, response, callback);
            case Result.Ok<CheckedCompletion, Failure>(CheckedCompletion checked) -> {
                CompletionBody completion = checked.body();
                String id = forwarded ? completion.requestId() : admitted.id().value();
                CompletionWriter writer = new CompletionWriter(id, completion.stream(), response, callback);
                if (!admission.intake().submitCompletion(checked.context(), checked.body(), writer)) {
                    reject(admission.overloadFailure(), response, callback);
                }
            }
        }
    }

    private void reject(Failure failure, Response response, Callback callback) {
        admission.release();
        FailureWriter.write(failure, response, callback);
    }

    /** A request that has passed all checks. */
    private record CheckedCompletion(RequestContext context, CompletionBody body) {}

    private Result<CheckedCompletion, Failure> check(
            RequestAdmission.AdmittedRequest admitted, Result<byte[], Failure> receivedBody, Request request) {
        if (receivedBody instanceof Result.Err<byte[], Failure>(Failure failure)) {
            return Result.err(failure);
        }
        byte[] json = ((Result.Ok<byte[], Failure>) receivedBody).value();
        return switch (CompletionBody.parse(json, admission.limits().maxTokens())) {
            case Result.Err<CompletionBody, Failure>(Failure failure) -> Result.err(failure);
            case Result.Ok<CompletionBody, Failure>(CompletionBody body) -> checkAccess(admitted, body, request);
        };
    }

    private Result<CheckedCompletion, Failure> checkAccess(
            RequestAdmission.AdmittedRequest admitted, CompletionBody body, Request request) {
        UpstreamId upstream = new UpstreamId(body.model());
        if (admitted.catalogue().find("model " + upstream, ModelEntry.class).isEmpty()) {
            return FailedCheck.notFound("model " + upstream + " is not in the catalogue");
        }
        if (!admitted.caller().upstreams().contains(upstream)) {
            return FailedCheck.forbidden("caller " + admitted.caller().id() + " may not use " + upstream);
        }
        var classResult = RequestContext.workClass(
                request.getHeaders(),
                admitted.catalogue(),
                admitted.caller(),
                admitted.caller().classes().getFirst());
        return switch (classResult) {
            case Result.Err<ClassEntry, Failure>(Failure failure) -> Result.err(failure);
            case Result.Ok<ClassEntry, Failure>(ClassEntry workClass) ->
                resolveDeadline(admitted, body, workClass, request);
        };
    }

    private Result<CheckedCompletion, Failure> resolveDeadline(
            RequestAdmission.AdmittedRequest admitted, CompletionBody body, ClassEntry workClass, Request request) {
        return switch (RequestContext.deadlineMillis(request.getHeaders(), workClass)) {
            case Result.Err<Long, Failure>(Failure failure) -> Result.err(failure);
            case Result.Ok<Long, Failure>(Long deadlineMillis) ->
                Result.ok(new CheckedCompletion(
                        new RequestContext(
                                admitted.id(),
                                admitted.caller(),
                                workClass,
                                new UpstreamId(body.model()),
                                admitted.receivedAtMillis(),
                                admitted.receivedAtMillis() + deadlineMillis,
                                forwarded),
                        body));
        };
    }
}

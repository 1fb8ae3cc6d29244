package org.apricotdeal.node.caller;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.apricotdeal.catalogue.codec.CatalogueCodec;
import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.catalogue.model.ServiceEntry;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.misc.Names;
import org.apricotdeal.kernel.result.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Handles calls to plain services. */
final class ServiceCallHandler extends Handler.Abstract.NonBlocking {
    private static final String SERVICES_PATH = "/services/";
    private static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";

    /** Headers that are not sent to the upstream: those of the connection and those of apricotdeal itself. */
    private static final Set<String> REMOVED_HEADERS = Set.of(
            "authorization",
            "connection",
            "content-length",
            "expect",
            "host",
            "keep-alive",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "x-request-id",
            RequestContext.CLASS_HEADER,
            RequestContext.DEADLINE_HEADER,
            RequestContext.CALLER_HEADER);

    private final RequestAdmission admission;
    private final String pathPrefix;
    private final boolean forwarded;

    ServiceCallHandler(RequestAdmission admission, String pathPrefix, boolean forwarded) {
        this.admission = admission;
        this.pathPrefix = pathPrefix;
        this.forwarded = forwarded;
    }

    /** A call that has passed all checks except those of its body. */
    private record CheckedServiceCall(
            RequestContext context, ServiceEntry service, String path, String idempotencyKey) {}

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        switch (admission.admit(request, forwarded)) {
            case Result.Err<RequestAdmission.AdmittedRequest, Failure>(Failure failure) ->
                FailureWriter.write(failure, response, callback);
            case Result.Ok<RequestAdmission.AdmittedRequest, Failure>(RequestAdmission.AdmittedRequest admitted) ->
                handleAdmitted(admitted, request, response, callback);
        }
        return true;
    }

    private void handleAdmitted(
            RequestAdmission.AdmittedRequest admitted, Request request, Response response, Callback callback) {
        switch (check(admitted, request)) {
            case Result.Err<CheckedServiceCall, Failure>(Failure failure) -> reject(failure, response, callback);
            case Result.Ok<CheckedServiceCall, Failure>(CheckedServiceCall call) ->
                admission.readBody(request, body -> handleBody(call, body, request, response, callback));
        }
    }

    private void handleBody(
            CheckedServiceCall call,
            Result<byte[], Failure> body,
            Request request,
            Response response,
            Callback callback) {
        switch (body) {
            case Result.Err<byte[], Failure>(Failure failure) -> reject(failure, response, callback);
            case Result.Ok<byte[], Failure>(byte[] bytes) -> {
                ServiceCallWriter writer = new ServiceCallWriter(response, callback);
                if (!admission
                        .intake()
                        .submitServiceCall(
                                call.context(), toUpstreamCall(call, request, bytes), call.service(), writer)) {
                    reject(admission.overloadFailure(), response, callback);
                }
            }
        }
    }

    private void reject(Failure failure, Response response, Callback callback) {
        admission.release();
        FailureWriter.write(failure, response, callback);
    }

    private static ServiceCall toUpstreamCall(CheckedServiceCall call, Request request, byte[] bytes) {
        String query = request.getHttpURI().getQuery();
        String pathAndQuery = query == null ? call.path() : call.path() + "?" + query;
        Map<String, String> headers = new TreeMap<>();
        for (HttpField field : request.getHeaders()) {
            String name = field.getName().toLowerCase(Locale.ROOT);
            if (!REMOVED_HEADERS.contains(name)) {
                headers.merge(name, field.getValue(), (first, next) -> first + ", " + next);
            }
        }
        String hashInput =
                request.getMethod() + " " + pathAndQuery + "\n" + HexFormat.of().formatHex(bytes);
        String hash = CatalogueCodec.sha256(hashInput.getBytes(StandardCharsets.UTF_8));
        return new ServiceCall(
                request.getMethod(), call.path(), pathAndQuery, headers, bytes, call.idempotencyKey(), hash);
    }

    private Result<CheckedServiceCall, Failure> check(RequestAdmission.AdmittedRequest admitted, Request request) {
        String servicePath = request.getHttpURI().getPath().substring(pathPrefix.length() + SERVICES_PATH.length());
        int slash = servicePath.indexOf('/');
        String name = slash < 0 ? servicePath : servicePath.substring(0, slash);
        Optional<ServiceEntry> service = Names.isValid(name)
                ? admitted.catalogue().find("service " + name, ServiceEntry.class)
                : Optional.empty();
        if (service.isEmpty()) {
            return FailedCheck.notFound("service is not in the catalogue");
        }
        UpstreamId upstream = service.get().id();
        if (!admitted.caller().upstreams().contains(upstream)) {
            return FailedCheck.forbidden("caller " + admitted.caller().id() + " may not use " + upstream);
        }
        String idempotencyKey = request.getHeaders().get(IDEMPOTENCY_KEY_HEADER);
        if (idempotencyKey != null && !Names.isValid(idempotencyKey)) {
            return FailedCheck.badRequest(IDEMPOTENCY_KEY_HEADER + ": expected 1 to " + Names.MAX_NAME_CHARS
                    + " letters, digits, dots, dashes, underscores or colons");
        }
        String path = slash < 0 ? "/" : servicePath.substring(slash);
        return resolveClassAndDeadline(
                admitted, service.get(), path, idempotencyKey == null ? "" : idempotencyKey, request);
    }

    private Result<CheckedServiceCall, Failure> resolveClassAndDeadline(
            RequestAdmission.AdmittedRequest admitted,
            ServiceEntry service,
            String path,
            String idempotencyKey,
            Request request) {
        var classResult = RequestContext.workClass(
                request.getHeaders(), admitted.catalogue(), admitted.caller(), service.classId());
        if (classResult instanceof Result.Err<ClassEntry, Failure>(Failure failure)) {
            return Result.err(failure);
        }
        ClassEntry workClass = ((Result.Ok<ClassEntry, Failure>) classResult).value();
        return switch (RequestContext.deadlineMillis(request.getHeaders(), workClass)) {
            case Result.Err<Long, Failure>(Failure failure) -> Result.err(failure);
            case Result.Ok<Long, Failure>(Long deadlineMillis) -> {
                RequestContext context = new RequestContext(
                        admitted.id(),
                        admitted.caller(),
                        workClass,
                        service.id(),
                        admitted.receivedAtMillis(),
                        admitted.receivedAtMillis() + deadlineMillis,
                        forwarded);
                yield Result.ok(new CheckedServiceCall(context, service, path, idempotencyKey));
            }
        };
    }
}

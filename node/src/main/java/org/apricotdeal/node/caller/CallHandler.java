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

/** Takes calls to plain services. */
final class CallHandler extends Handler.Abstract.NonBlocking {
    private static final String SERVICES = "/services/";
    private static final String KEY_HEADER = "idempotency-key";

    /** Headers of the connection and of the system itself, which are not passed on. */
    private static final Set<String> NOT_PASSED_ON = Set.of(
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

    private final Gate gate;
    private final String prefix;
    private final boolean forwarded;

    CallHandler(Gate gate, String prefix, boolean forwarded) {
        this.gate = gate;
        this.prefix = prefix;
        this.forwarded = forwarded;
    }

    /** A call that has passed all checks but those of its body. */
    private record CheckedCall(RequestContext context, ServiceEntry service, String path, String key) {}

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        switch (gate.admit(request, forwarded)) {
            case Result.Err<Gate.Admitted, Failure>(Failure failure) ->
                FailureWriter.write(failure, response, callback);
            case Result.Ok<Gate.Admitted, Failure>(Gate.Admitted admitted) ->
                take(admitted, request, response, callback);
        }
        return true;
    }

    private void take(Gate.Admitted admitted, Request request, Response response, Callback callback) {
        switch (check(admitted, request)) {
            case Result.Err<CheckedCall, Failure>(Failure failure) -> refuse(failure, response, callback);
            case Result.Ok<CheckedCall, Failure>(CheckedCall call) ->
                gate.readBody(request, body -> takeBody(call, body, request, response, callback));
        }
    }

    private void takeBody(
            CheckedCall call, Result<byte[], Failure> body, Request request, Response response, Callback callback) {
        switch (body) {
            case Result.Err<byte[], Failure>(Failure failure) -> refuse(failure, response, callback);
            case Result.Ok<byte[], Failure>(byte[] bytes) -> {
                CallWriter writer = new CallWriter(response, callback);
                if (!gate.intake().takeCall(call.context(), passedOn(call, request, bytes), call.service(), writer)) {
                    refuse(gate.overloaded(), response, callback);
                }
            }
        }
    }

    private void refuse(Failure failure, Response response, Callback callback) {
        gate.leave();
        FailureWriter.write(failure, response, callback);
    }

    private static CallBody passedOn(CheckedCall call, Request request, byte[] bytes) {
        String query = request.getHttpURI().getQuery();
        String pathAndQuery = query == null ? call.path() : call.path() + "?" + query;
        Map<String, String> headers = new TreeMap<>();
        for (HttpField field : request.getHeaders()) {
            String name = field.getName().toLowerCase(Locale.ROOT);
            if (!NOT_PASSED_ON.contains(name)) {
                headers.merge(name, field.getValue(), (first, next) -> first + ", " + next);
            }
        }
        String described =
                request.getMethod() + " " + pathAndQuery + "\n" + HexFormat.of().formatHex(bytes);
        String hash = CatalogueCodec.sha256(described.getBytes(StandardCharsets.UTF_8));
        return new CallBody(request.getMethod(), call.path(), pathAndQuery, headers, bytes, call.key(), hash);
    }

    private Result<CheckedCall, Failure> check(Gate.Admitted admitted, Request request) {
        String rest = request.getHttpURI().getPath().substring(prefix.length() + SERVICES.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        Optional<ServiceEntry> service = Names.isValid(name)
                ? admitted.catalogue().find("service " + name, ServiceEntry.class)
                : Optional.empty();
        if (service.isEmpty()) {
            return Checked.notFound("service is not in the catalogue");
        }
        UpstreamId upstream = service.get().id();
        if (!admitted.caller().upstreams().contains(upstream)) {
            return Checked.forbidden("caller " + admitted.caller().id() + " may not use " + upstream);
        }
        String key = request.getHeaders().get(KEY_HEADER);
        if (key != null && !Names.isValid(key)) {
            return Checked.badRequest(KEY_HEADER + ": expected 1 to " + Names.MAX_NAME_CHARS
                    + " letters, digits, dots, dashes, underscores or colons");
        }
        String path = slash < 0 ? "/" : rest.substring(slash);
        return withClass(admitted, service.get(), path, key == null ? "" : key, request);
    }

    private Result<CheckedCall, Failure> withClass(
            Gate.Admitted admitted, ServiceEntry service, String path, String key, Request request) {
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
                yield Result.ok(new CheckedCall(context, service, path, key));
            }
        };
    }
}

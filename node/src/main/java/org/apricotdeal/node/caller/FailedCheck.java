package org.apricotdeal.node.caller;

import org.apricotdeal.kernel.result.Result;

/** Creates the error results of failed request checks. */
final class FailedCheck {
    private FailedCheck() {}

    static <T> Result<T, Failure> badRequest(String message) {
        return Result.err(Failure.notRun(400, FailureCode.BAD_REQUEST, message));
    }

    static <T> Result<T, Failure> forbidden(String message) {
        return Result.err(Failure.notRun(403, FailureCode.FORBIDDEN, message));
    }

    static <T> Result<T, Failure> notFound(String message) {
        return Result.err(Failure.notRun(404, FailureCode.NOT_FOUND, message));
    }
}

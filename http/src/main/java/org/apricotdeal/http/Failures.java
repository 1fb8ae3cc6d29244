package org.apricotdeal.http;

/** Describes failures of the HTTP client for people. */
final class Failures {
    private Failures() {}

    static String describe(Throwable failure) {
        if (failure == null) {
            return "failed";
        }
        String message = failure.getMessage();
        String type = failure.getClass().getSimpleName();
        return message == null ? type : type + ": " + message;
    }
}

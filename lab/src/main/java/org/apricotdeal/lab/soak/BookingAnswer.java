package org.apricotdeal.lab.soak;

/** What a caller is told in a run with bookings. */
sealed interface BookingAnswer {
    /** The service's answer, now or recorded. */
    record Answered(String body, boolean replayed) implements BookingAnswer {}

    /** The request did not run and never will. */
    record NotRun(String reason) implements BookingAnswer {}

    /** The request, or an earlier one with its key, may have run. */
    record Unknown(String reason) implements BookingAnswer {}
}

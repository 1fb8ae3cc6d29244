package org.apricotdeal.kernel.result;

/**
 * Outcome of an operation that can fail: a value, or an error of a type that callers switch over.
 *
 * @param <T> type of the value
 * @param <E> type of the error, usually a sealed interface or an enum
 */
public sealed interface Result<T, E> {
    /**
     * A successful outcome.
     *
     * @param value the value
     * @param <T> type of the value
     * @param <E> type of the error
     */
    record Ok<T, E>(T value) implements Result<T, E> {}

    /**
     * A failed outcome.
     *
     * @param error cause of the failure
     * @param <T> type of the value
     * @param <E> type of the error
     */
    record Err<T, E>(E error) implements Result<T, E> {}

    /**
     * Creates a success.
     *
     * @param value the value
     * @param <T> type of the value
     * @param <E> type of the error
     * @return the success
     */
    static <T, E> Result<T, E> ok(T value) {
        return new Ok<>(value);
    }

    /**
     * Creates a failure.
     *
     * @param error the error
     * @param <T> type of the value
     * @param <E> type of the error
     * @return the failure
     */
    static <T, E> Result<T, E> err(E error) {
        return new Err<>(error);
    }
}

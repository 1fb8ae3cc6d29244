package org.apricotdeal.relay.node;

import java.util.Locale;

import org.apricotdeal.relay.policy.RefusalReason;

/** Why a node closed a caller's connection before the whole answer to a request that it had read was written. */
enum AnswerCut {
    /** The process ended. */
    STOP,
    /** The deadline passed after the answer had begun. */
    TIMEOUT,
    /** The answer had begun and its attempt broke off, without another one to continue it. */
    BROKEN,
    /** The answer gave way to others who needed its memory or its connection. */
    CURBED,
    /** The caller did not read the answer within the idle timeout. */
    UNREAD,
    /** An action of the node failed with an exception. */
    FAILURE;

    static AnswerCut of(RefusalReason reason) {
        return switch (reason) {
            case STOPPING -> STOP;
            case TIMEOUT -> TIMEOUT;
            default -> BROKEN;
        };
    }

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}

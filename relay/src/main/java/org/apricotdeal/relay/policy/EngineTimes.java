package org.apricotdeal.relay.policy;

import org.apricotdeal.relay.model.EngineProfile;

/**
 * Times of a model's engine by its profile.
 *
 * @param readMillisPerToken time to read a token of a prompt
 * @param schedulingMillis time between two scheduling passes, in which the engine begins with a prompt
 * @param tokenMillis time to generate a token while all slots are occupied
 * @param meanAnswerTokens mean length of an answer
 */
record EngineTimes(double readMillisPerToken, double schedulingMillis, double tokenMillis, int meanAnswerTokens) {
    /**
     * Returns the times of an engine.
     *
     * @param engine profile of the engine
     * @param timeFactor factor of the model that applies to all times
     */
    static EngineTimes of(EngineProfile engine, double timeFactor) {
        double tokenMillis =
                timeFactor * (engine.baseStepMillis() + engine.slotsPerReplica() * engine.stepMillisPerSequence());
        return new EngineTimes(
                timeFactor / engine.prefillTokensPerMilli(),
                engine.schedulingIntervalSteps() * tokenMillis,
                tokenMillis,
                engine.meanAnswerTokens());
    }
}

package org.apricotdeal.relay.model;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Capacity and timing of an upstream's engines.
 *
 * @param slotsPerReplica number of concurrent requests of a replica
 * @param schedulingIntervalSteps number of steps between two scheduling passes over the waiting requests
 * @param baseStepMillis duration of a step without sequences
 * @param stepMillisPerSequence time that each running sequence adds to a step
 * @param stepMillisPerThousandTokens time that each thousand tokens of context add to a step
 * @param prefillTokensPerMilli prompt tokens that are read per millisecond
 * @param meanPromptTokens mean length of a prompt
 * @param meanAnswerTokens mean length of an answer
 * @param reportLagMillis age of the load that an engine reports
 * @param loadsPerSecond number of loads from the weight store that may begin per second, over all VMs
 * @param concurrentLoads number of concurrent loads above which each one slows down
 * @param openMillis time from the order to open until the head serves
 * @param crossFabricSlowdown factor by which a replica is slower if it spans fabric domains
 * @param models models of the upstream
 * @param memoryTokens tokens of the requests that a replica can hold at once; empty if that is not told
 */
public record EngineProfile(
        int slotsPerReplica,
        int schedulingIntervalSteps,
        double baseStepMillis,
        double stepMillisPerSequence,
        double stepMillisPerThousandTokens,
        double prefillTokensPerMilli,
        int meanPromptTokens,
        int meanAnswerTokens,
        long reportLagMillis,
        double loadsPerSecond,
        int concurrentLoads,
        long openMillis,
        double crossFabricSlowdown,
        List<ModelSpec> models,
        OptionalLong memoryTokens) {
    /** Copies the list. */
    public EngineProfile {
        models = List.copyOf(models);
    }

    /**
     * Finds a model by its identifier.
     *
     * @param id identifies the model
     * @return model, or empty if the upstream does not have it
     */
    public Optional<ModelSpec> model(ModelId id) {
        return models.stream().filter(model -> model.id().equals(id)).findFirst();
    }
}

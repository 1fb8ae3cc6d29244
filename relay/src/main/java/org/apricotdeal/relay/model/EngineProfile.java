package org.apricotdeal.relay.model;

import java.util.List;
import java.util.Optional;

/**
 * What is known of an upstream's engines.
 *
 * @param slotsPerReplica requests that a replica works on at once
 * @param schedulingIntervalSteps steps between two passes over the waiting work
 * @param baseStepMillis time of a step, without any sequence
 * @param stepMillisPerSequence time that each running sequence adds to a step
 * @param stepMillisPerThousandTokens time that each thousand tokens of context add to a step
 * @param prefillTokensPerMilli prompt tokens read in a millisecond
 * @param meanPromptTokens mean length of a prompt
 * @param meanAnswerTokens mean length of an answer
 * @param reportLagMillis age of what an engine says of its load
 * @param loadsPerSecond loads from the weight store that may begin in a second, over all VMs
 * @param concurrentLoads loads at once beyond which each takes longer
 * @param openMillis time from the order to open until the head serves
 * @param crossFabricSlowdown how much slower a replica is that spans fabric domains
 * @param models the models
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
        List<ModelSpec> models) {
    /** Copies the list. */
    public EngineProfile {
        models = List.copyOf(models);
    }

    /**
     * Finds a model.
     *
     * @param id the model
     * @return the model, or nothing where the upstream has none of that name
     */
    public Optional<ModelSpec> model(ModelId id) {
        return models.stream().filter(model -> model.id().equals(id)).findFirst();
    }
}

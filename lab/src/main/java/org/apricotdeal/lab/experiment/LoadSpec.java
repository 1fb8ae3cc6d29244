package org.apricotdeal.lab.experiment;

import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.UpstreamId;

/**
 * A stream of requests of one kind.
 *
 * @param name the section's subject
 * @param classId class of the requests
 * @param upstream upstream that they ask for
 * @param capacityShare offered load as a share of the upstream's whole capacity
 * @param outputTokens mean length of the answers in tokens; 1 for a plain service
 * @param promptTokens length of the prompts in tokens; 0 for a plain service
 * @param prefixes number of different prompt prefixes; 0 for none
 * @param estimateRatio estimated by true mean length of the answers
 */
public record LoadSpec(
        String name,
        ClassId classId,
        UpstreamId upstream,
        double capacityShare,
        int outputTokens,
        int promptTokens,
        int prefixes,
        double estimateRatio) {}

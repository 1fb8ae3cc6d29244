package org.apricotdeal.relay.poison;

import org.apricotdeal.relay.model.PromptPartId;

/**
 * A part of a prompt as VMs of one model release answer it, or crash on it.
 *
 * @param served what the VMs serve
 * @param part the part
 */
public record ServedPart(ModelRelease served, PromptPartId part) {}

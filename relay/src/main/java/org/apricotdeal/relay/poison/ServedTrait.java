package org.apricotdeal.relay.poison;

import org.apricotdeal.relay.model.RequestTrait;

/**
 * A trait of requests as VMs of one release answer it, or crash on it.
 *
 * @param served what the VMs serve
 * @param trait the trait
 */
public record ServedTrait(ServedRelease served, RequestTrait trait) {}

package org.apricotdeal.relay.poison;

import org.apricotdeal.kernel.id.VmId;

/**
 * Identifies a crash. All nodes that lose requests by it name the same id.
 *
 * @param vm VM that received the lost requests
 * @param epoch epoch of its replica, which changes before the VM can crash again
 */
public record CrashId(VmId vm, long epoch) {}
